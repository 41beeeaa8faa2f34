package plumlever.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import plumlever.wire.Json;

/**
 * The stored record of the leader's delegation of lease renewal. Earlier versions of the software
 * would renew leases without invalidating commands. These versions read a field with another name
 * than {@code zones}, so this record delegates nothing to them. Records that those versions have
 * written hold no tokens and delegate nothing to this version.
 *
 * @param term the leader's term
 * @param tokenByZone the token that renewals in each delegated zone carry
 */
public record DelegationRecord(long term, Map<String, Long> tokenByZone) {
  private static final String TERM = "term";
  private static final String ZONES = "zones";
  private static final String ZONE = "zone";
  private static final String TOKEN = "token";

  /** Makes the map of tokens immutable. */
  public DelegationRecord {
    tokenByZone = Map.copyOf(tokenByZone);
  }

  /** Reads a stored record. Entries that cannot be read delegate nothing. */
  public static DelegationRecord read(JsonNode stored) {
    Map<String, Long> tokens = new TreeMap<>();
    for (JsonNode zone : stored.path(ZONES)) {
      if (zone.path(ZONE).isTextual() && zone.path(TOKEN).isIntegralNumber()) {
        tokens.put(zone.path(ZONE).asText(), zone.path(TOKEN).asLong());
      }
    }
    return new DelegationRecord(stored.path(TERM).asLong(-1), tokens);
  }

  /** Returns the JSON object to store. */
  public ObjectNode write() {
    ObjectNode stored = Json.object().put(TERM, term);
    ArrayNode zones = stored.putArray(ZONES);
    new TreeMap<>(tokenByZone)
        .forEach((zone, token) -> zones.addObject().put(ZONE, zone).put(TOKEN, token));
    return stored;
  }

  /** Returns the token that renewals in the zone carry, or empty if the zone is not delegated. */
  public OptionalLong tokenOf(String zone) {
    Long token = tokenByZone.get(zone);
    return token == null ? OptionalLong.empty() : OptionalLong.of(token);
  }
}
