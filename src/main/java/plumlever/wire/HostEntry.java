package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;

/** A machine of the cloud's list. */
public record HostEntry(
    String uid,
    String endpoint,
    String flavor,
    String site,
    boolean loaners,
    String status,
    double ageS) {
  public static HostEntry parse(JsonNode n) throws InvalidMessage {
    return new HostEntry(
        Json.text(n, "uid"),
        Json.text(n, "endpoint"),
        Json.text(n, "flavor"),
        Json.text(n, "site"),
        Json.flag(n, "loaners"),
        Json.text(n, "status"),
        Json.absent(n, "age_s") ? 0 : Json.amount(n, "age_s", 0));
  }
}
