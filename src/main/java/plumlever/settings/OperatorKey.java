package plumlever.settings;

/** Numeric keys of the operators' settings file, each with its accepted range. */
enum OperatorKey {
  RUN_TIME_PADDING("padding_share", 0, 1),
  TIE_TOLERANCE("tie_share", 0, 1),
  START_TARGET_S("start_target_s", 0, 1e6),
  LEASE_TTL_S("grant_ttl_s", 1, 600),
  LEASE_RENEWAL_INTERVAL_S("touch_s", 0.1, 100),
  LEASE_SAFETY_MARGIN_S("act_margin_s", 0.05, 10),
  PROGRESS_WRITE_INTERVAL_S("progress_s", 0.1, 60),
  PASS_BUDGET_S("round_budget_s", 0.001, 1),
  HEARTBEAT_TIMEOUT_S("silent_s", 1, 600),
  IDLE_TIMEOUT_FOR_COST_S("idle_money_s", 0, 1e6),
  IDLE_TIMEOUT_FOR_SPEED_S("idle_speed_s", 0, 1e6),
  BOOT_TIMEOUT_FACTOR("boot_factor", 1, 100),
  PROVISIONING_S("rent_s", 0, 3600),
  STARVATION_LIMIT_S("begin_s", 1, 1e6),
  HEADROOM_DEVIATIONS("standby_spreads", 0, 100),
  SPOT_RISK_PREMIUM("spot_risk", 0, 100);

  private final String text;
  private final double min;
  private final double max;

  OperatorKey(String text, double min, double max) {
    this.text = text;
    this.min = min;
    this.max = max;
  }

  /** Returns the name of this key as written in the operators' settings file. */
  String text() {
    return text;
  }

  double min() {
    return min;
  }

  double max() {
    return max;
  }

  /** Returns true if the value is within the range of the key. */
  boolean accepts(double value) {
    return value >= min && value <= max;
  }
}
