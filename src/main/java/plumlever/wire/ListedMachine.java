package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** A machine of the cloud's list. */
public record ListedMachine(
    String id,
    String endpoint,
    String machineType,
    String zone,
    boolean spot,
    String status,
    double ageS) {
  /** Reads one entry of the cloud's list. */
  public static ListedMachine parse(JsonNode node) throws InvalidMessageException {
    return new ListedMachine(
        Json.text(node, ProtocolField.LISTED_MACHINE_ID),
        Json.text(node, ProtocolField.ENDPOINT),
        Json.text(node, ProtocolField.MACHINE_TYPE),
        Json.text(node, ProtocolField.ZONE),
        Json.flag(node, ProtocolField.SPOT),
        Json.text(node, ProtocolField.STATUS),
        Json.absent(node, "age_s") ? 0 : Json.amount(node, "age_s", 0));
  }
}
