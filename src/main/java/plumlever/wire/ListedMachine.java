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
  public static ListedMachine parse(JsonNode node) throws InvalidMessage {
    return new ListedMachine(
        Json.text(node, "uid"),
        Json.text(node, "endpoint"),
        Json.text(node, "flavor"),
        Json.text(node, "site"),
        Json.flag(node, "loaners"),
        Json.text(node, "status"),
        Json.absent(node, "age_s") ? 0 : Json.amount(node, "age_s", 0));
  }
}
