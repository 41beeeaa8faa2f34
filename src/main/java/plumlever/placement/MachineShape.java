package plumlever.placement;

/**
 * Properties that all machines of one type share. The spot machines of a type have a shape of their
 * own.
 *
 * @param pricePerS price per second or, if only speed matters, a measure of the machine's size
 */
public record MachineShape(
    String machineType,
    boolean spot,
    double cores,
    double accelerators,
    double memoryGb,
    double pricePerS) {}
