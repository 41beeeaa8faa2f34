package plumlever.placement;

/**
 * Properties shared by all machines of one type. Spot machines have a shape of their own.
 *
 * @param pricePerS price per second; a measure of machine size if only speed matters
 */
public record MachineShape(
    String machineType,
    boolean spot,
    double cores,
    double accelerators,
    double memoryGb,
    double pricePerS) {}
