package plumlever.lease;

import java.util.Locale;

/** Why a lease is not renewed. */
public enum RenewalRefusal {
  NOT_LEADING("not in office"),
  ENDED_JOBS_UNKNOWN("which jobs have ended is not known"),
  UNANSWERED_COMMAND("a command without an answer may still be carried out"),
  DELEGATION_OVER("the leader's delegation has run out"),
  OTHER_TERM("the machine has seen another term than the delegation's"),
  TOKEN_NOT_SUFFICIENT("the machine has seen a higher token than the delegation's");

  private final String reason;

  RenewalRefusal(String reason) {
    this.reason = reason;
  }

  /** What the worker is told. */
  public String reason() {
    return reason;
  }

  /** The counter that it adds to. */
  public String counter() {
    return "renewals_refused_" + name().toLowerCase(Locale.ROOT);
  }
}
