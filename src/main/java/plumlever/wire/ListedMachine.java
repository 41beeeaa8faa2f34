package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An entry of the cloud's machine list.
 *
 * @param status the machine's status in the cloud's terms
 * @param ageS the time since the machine was rented, in seconds
 */
public record ListedMachine(
    String id,
    String endpoint,
    String machineType,
    String zone,
    boolean spot,
    String status,
    double ageS) {
  private static final String FAILED = "failed";
  private static final String AGE_S = "age_s";

  /** True if the cloud lists the machine as failed: it stopped without a return request. */
  public boolean failed() {
    return status.equals(FAILED);
  }

  /** Parses an entry of the cloud's machine list. */
  public static ListedMachine parse(JsonNode node) throws InvalidMessageException {
    return new ListedMachine(
        Json.text(node, ProtocolField.LISTED_MACHINE_ID),
        Json.text(node, ProtocolField.ENDPOINT),
        Json.text(node, ProtocolField.MACHINE_TYPE),
        Json.text(node, ProtocolField.ZONE),
        Json.flag(node, ProtocolField.SPOT),
        Json.text(node, ProtocolField.STATUS),
        Json.isAbsent(node, AGE_S) ? 0 : Json.amount(node, AGE_S, 0));
  }
}
