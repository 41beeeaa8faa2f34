package plumlever.lease;

import java.util.Locale;

/** Why a lease is not renewed. The reasons are sent to workers, so their texts stay as they are. */
public enum RenewalRefusal {
  /** The controller may not act as leader, or not any more. */
  NOT_LEADING("not in office"),

  /** A task may be of a job that has ended without this controller's knowing. */
  ENDED_JOBS_UNKNOWN("which jobs have ended is not known"),

  /** A command on its way may add a task that the heartbeat does not list. */
  UNANSWERED_COMMAND("a command without an answer may still be carried out"),

  /** The delegation under which leases are renewed for the leader is too old. */
  DELEGATION_OVER("the leader's delegation has run out"),

  /** The machine has seen a token of another term than the delegation's. */
  OTHER_TERM("the machine has seen another term than the delegation's"),

  /** The delegation's token would not void all commands to the machine. */
  TOKEN_NOT_SUFFICIENT("the machine has seen a higher token than the delegation's");

  private final String reason;

  RenewalRefusal(String reason) {
    this.reason = reason;
  }

  /** The text that the worker is sent. */
  public String reason() {
    return reason;
  }

  /** The name of the counter of such refusals. */
  public String counter() {
    return "renewals_refused_" + name().toLowerCase(Locale.ROOT);
  }
}
