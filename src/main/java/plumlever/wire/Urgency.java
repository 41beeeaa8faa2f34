package plumlever.wire;

/** Priorities, the most urgent first. */
public enum Urgency {
  PROD("prod"),
  HIGH("high"),
  STANDARD("standard"),
  IDLE("idle");

  private final String wireName;

  Urgency(String wireName) {
    this.wireName = wireName;
  }

  public String wireName() {
    return wireName;
  }

  /** By its name in submissions. */
  public static Urgency of(String name) throws InvalidMessage {
    for (Urgency urgency : values()) {
      if (urgency.wireName.equals(name)) {
        return urgency;
      }
    }
    throw new InvalidMessage("urgency is unknown");
  }
}
