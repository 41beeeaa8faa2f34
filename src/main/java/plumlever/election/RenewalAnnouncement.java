package plumlever.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import plumlever.wire.Json;

/**
 * The stored record by which a controller announces that it renews leases on behalf of the leader.
 *
 * @param delegationRevision the revision of the delegation record by which the leader allowed the
 *     renewals; {@link #NONE} if unreadable
 */
record RenewalAnnouncement(long delegationRevision) {
  /** Used in place of the revision of a delegation record if no such record is known. */
  static final long NONE = -1;

  private static final String DELEGATION_REVISION = "mandate";

  static RenewalAnnouncement read(JsonNode stored) {
    return new RenewalAnnouncement(stored.path(DELEGATION_REVISION).asLong(NONE));
  }

  ObjectNode write() {
    return Json.object().put(DELEGATION_REVISION, delegationRevision);
  }
}
