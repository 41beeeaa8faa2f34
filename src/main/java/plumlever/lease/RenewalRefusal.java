package plumlever.lease;

import java.util.Locale;

/** The reasons for not renewing a lease. Their texts are sent to workers and must not change. */
public enum RenewalRefusal {
  /** The controller is not the leader, or its right to act as leader has expired. */
  NOT_LEADING("not in office"),

  /** A task may belong to a job whose end is not known to this controller yet. */
  ENDED_JOBS_UNKNOWN("which jobs have ended is not known"),

  /** A command in flight may start a task that the heartbeat does not list. */
  UNANSWERED_COMMAND("a command without an answer may still be carried out"),

  /** A command of an earlier leader or owner may still be executed before the response arrives. */
  EARLIER_TERM_COMMAND("a command of an earlier term may still be carried out"),

  /** The last read of the delegation under which leases are renewed has expired. */
  DELEGATION_OVER("the leader's delegation has run out"),

  /** The machine has seen a token of a term that differs from the delegation's term. */
  OTHER_TERM("the machine has seen another term than the delegation's"),

  /** The delegation's token is too low to invalidate all commands to the machine. */
  TOKEN_NOT_SUFFICIENT("the machine has seen a higher token than the delegation's");

  private final String reason;

  RenewalRefusal(String reason) {
    this.reason = reason;
  }

  /** Returns the text that is sent to the worker. */
  public String reason() {
    return reason;
  }

  /** Returns the name of the counter of refusals for this reason. */
  public String counter() {
    return "renewals_refused_" + name().toLowerCase(Locale.ROOT);
  }
}
