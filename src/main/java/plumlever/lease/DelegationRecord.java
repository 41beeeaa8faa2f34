package plumlever.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import plumlever.wire.Json;

/**
 * The leader's delegation of lease renewal, as it is stored. Versions that would renew without
 * voiding commands look for a field {@code zones}; there is none, so they are given no right. What
 * they themselves have written holds no token and gives no right here.
 *
 * @param term the leader's term
 * @param tokenByZone for each delegated zone the token that renewals there carry
 */
public record DelegationRecord(long term, Map<String, Long> tokenByZone) {
  private static final String TERM = "term";
  private static final String ZONES = "zones";
  private static final String ZONE = "zone";
  private static final String TOKEN = "token";

  /** Keeps a copy of the map. */
  public DelegationRecord {
    tokenByZone = Map.copyOf(tokenByZone);
  }

  /** Reads what is stored; whatever can't be read gives no right. */
  public static DelegationRecord read(JsonNode stored) {
    Map<String, Long> tokens = new TreeMap<>();
    for (JsonNode zone : stored.path(ZONES)) {
      if (zone.path(ZONE).isTextual() && zone.path(TOKEN).isIntegralNumber()) {
        tokens.put(zone.path(ZONE).asText(), zone.path(TOKEN).asLong());
      }
    }
    return new DelegationRecord(stored.path(TERM).asLong(-1), tokens);
  }

  /** The form that is stored. */
  public ObjectNode write() {
    ObjectNode stored = Json.object().put(TERM, term);
    ArrayNode zones = stored.putArray(ZONES);
    new TreeMap<>(tokenByZone)
        .forEach((zone, token) -> zones.addObject().put(ZONE, zone).put(TOKEN, token));
    return stored;
  }

  /** The token of renewals in the zone, if it is delegated. */
  public OptionalLong tokenOf(String zone) {
    Long token = tokenByZone.get(zone);
    return token == null ? OptionalLong.empty() : OptionalLong.of(token);
  }
}
