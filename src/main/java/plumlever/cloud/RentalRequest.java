package plumlever.cloud;

/**
 * A request for machines of one type in one zone, either all spot or all on demand.
 *
 * @param id idempotency key: the cloud executes at most one request with the same id
 * @param count number of machines, at most {@link CloudClient#MAX_MACHINES_PER_RENTAL}
 */
public record RentalRequest(String id, String machineType, String zone, boolean spot, int count) {}
