package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * A controller's word that it renews leases for the leader, as it is stored.
 *
 * @param delegationRevision of the delegation under which it does so; {@link #NONE} where it can't
 *     be read
 */
record RenewalAnnouncement(long delegationRevision) {
  /** The revision of no delegation. */
  static final long NONE = -1;

  private static final String DELEGATION_REVISION = "mandate";

  static RenewalAnnouncement read(JsonNode stored) {
    return new RenewalAnnouncement(stored.path(DELEGATION_REVISION).asLong(NONE));
  }

  ObjectNode write() {
    return Json.object().put(DELEGATION_REVISION, delegationRevision);
  }
}
