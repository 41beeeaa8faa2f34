package plumlever.placement;

/**
 * What all machines of one type have in common, spot machines apart from the others.
 *
 * @param pricePerS price of a second; where only speed matters, any measure of the size
 */
public record MachineShape(
    String machineType,
    boolean spot,
    double cores,
    double accelerators,
    double memoryGb,
    double pricePerS) {}
