package plumlever.cloud;

/**
 * A request for machines of one kind.
 *
 * @param id names the request: the cloud carries out only one of each id
 * @param count how many, at most {@link CloudClient#MAX_MACHINES_PER_RENTAL}
 */
public record RentalRequest(String id, String machineType, String zone, boolean spot, int count) {}
