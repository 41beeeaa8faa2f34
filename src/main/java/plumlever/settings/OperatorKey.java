package plumlever.settings;

/** Numeric keys of the operators' settings file, each with its accepted range. */
enum OperatorKey {
  PADDING_SHARE("padding_share", 0, 1),
  TIE_SHARE("tie_share", 0, 1),
  START_TARGET_S("start_target_s", 0, 1e6),
  LEASE_TTL_S("grant_ttl_s", 1, 600),
  LEASE_RENEWAL_S("touch_s", 0.1, 100),
  ACT_MARGIN_S("act_margin_s", 0.05, 10),
  PROGRESS_PAUSE_S("progress_s", 0.1, 60),
  PASS_BUDGET_S("round_budget_s", 0.001, 1),
  SILENT_S("silent_s", 1, 600),
  IDLE_MONEY_S("idle_money_s", 0, 1e6),
  IDLE_SPEED_S("idle_speed_s", 0, 1e6),
  BOOT_FACTOR("boot_factor", 1, 100),
  RENTAL_S("rent_s", 0, 3600),
  MUST_START_S("begin_s", 1, 1e6),
  HEADROOM_DEVIATIONS("standby_spreads", 0, 100),
  SPOT_RISK("spot_risk", 0, 100);

  private final String text;
  private final double min;
  private final double max;

  OperatorKey(String text, double min, double max) {
    this.text = text;
    this.min = min;
    this.max = max;
  }

  /** The key's name in the file. */
  String text() {
    return text;
  }

  double min() {
    return min;
  }

  double max() {
    return max;
  }

  boolean accepts(double value) {
    return value >= min && value <= max;
  }
}
