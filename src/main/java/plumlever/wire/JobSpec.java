package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** A job as its user submits it. */
public record JobSpec(
    String uid,
    String jobclass,
    String owner,
    Urgency urgency,
    int pieces,
    double cores,
    double accelerators,
    double memoryGb,
    String bundle,
    double imageGb,
    List<String> flavors,
    String site,
    boolean oneZone,
    boolean spread,
    boolean loaners,
    double expectS,
    double snapshotEveryS,
    double snapshotS,
    double dueS,
    List<String> waitsOn) {

  /** A job that waits for no other. */
  public JobSpec(
      String uid,
      String jobclass,
      String owner,
      Urgency urgency,
      int pieces,
      double cores,
      double accelerators,
      double memoryGb,
      String bundle,
      double imageGb,
      List<String> flavors,
      String site,
      boolean oneZone,
      boolean spread,
      boolean loaners,
      double expectS,
      double snapshotEveryS,
      double snapshotS,
      double dueS) {
    this(
        uid,
        jobclass,
        owner,
        urgency,
        pieces,
        cores,
        accelerators,
        memoryGb,
        bundle,
        imageGb,
        flavors,
        site,
        oneZone,
        spread,
        loaners,
        expectS,
        snapshotEveryS,
        snapshotS,
        dueS,
        List.of());
  }

  public static final int MAX_PIECES = 100_000;

  /** Stands in {@code dueS} for a job with no deadline. */
  public static final double NO_DEADLINE = -1;

  private static final String WAITS_ON = "waits_on";
  private static final Pattern UID = Pattern.compile("job-[0-9]{1,18}");

  public static boolean validUid(String uid) {
    return uid != null && UID.matcher(uid).matches();
  }

  public boolean hasDeadline() {
    return dueS >= 0;
  }

  public boolean checkpoints() {
    return snapshotEveryS > 0;
  }

  /**
   * Reads and checks every field; {@code shape} other than a sweep is not something this service
   * runs.
   */
  public static JobSpec parse(ObjectNode o) throws InvalidMessage {
    String uid = Json.text(o, "uid");
    if (!validUid(uid)) {
      throw new InvalidMessage("uid must be job- and digits");
    }
    if (!"sweep".equals(Json.text(o, "shape"))) {
      throw new InvalidMessage("shape is unknown");
    }
    List<String> flavors = null;
    JsonNode f = o.get("flavors");
    if (f != null && !f.isNull()) {
      if (!f.isArray() || f.isEmpty() || f.size() > 100) {
        throw new InvalidMessage("flavors must be null or a list of 1 to 100 names");
      }
      flavors = new ArrayList<>();
      for (JsonNode x : f) {
        if (!x.isTextual() || x.textValue().isEmpty()) {
          throw new InvalidMessage("flavors must hold names");
        }
        flavors.add(x.textValue());
      }
    }
    double cores = Json.amount(o, "cores", 0);
    double accelerators = Json.amount(o, "accelerators", 0);
    double memory = Json.amount(o, "memory_gb", 0);
    return new JobSpec(
        uid,
        Json.text(o, "jobclass"),
        Json.text(o, "owner"),
        Urgency.of(Json.text(o, "urgency")),
        (int) Json.whole(o, "pieces", 1, MAX_PIECES),
        cores,
        accelerators,
        memory,
        Json.text(o, "bundle"),
        Json.amount(o, "image_gb", 0),
        flavors == null ? null : List.copyOf(flavors),
        Json.textOrNull(o, "site"),
        Json.flag(o, "one_zone"),
        Json.flag(o, "spread"),
        Json.flag(o, "loaners"),
        Json.amount(o, "expect_s", 0),
        Json.amount(o, "snapshot_every_s", 0),
        Json.amount(o, "snapshot_s", 0),
        Json.absent(o, "due_s") ? NO_DEADLINE : Json.amount(o, "due_s", 0),
        waitsOn(o));
  }

  /**
   * The jobs that have to be done before this one starts, each once; a body holds a few thousand at
   * most.
   */
  private static List<String> waitsOn(ObjectNode o) throws InvalidMessage {
    JsonNode list = o.get(WAITS_ON);
    if (list == null || list.isNull()) {
      return List.of();
    }
    if (!list.isArray()) {
      throw new InvalidMessage("waits_on must be a list of job ids");
    }
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode x : list) {
      if (!x.isTextual() || !validUid(x.textValue())) {
        throw new InvalidMessage("waits_on must hold job ids");
      }
      names.add(x.textValue());
    }
    return List.copyOf(names);
  }

  /** The same job with another list of those that it waits on. */
  public JobSpec waitingOn(List<String> others) {
    return new JobSpec(
        uid,
        jobclass,
        owner,
        urgency,
        pieces,
        cores,
        accelerators,
        memoryGb,
        bundle,
        imageGb,
        flavors,
        site,
        oneZone,
        spread,
        loaners,
        expectS,
        snapshotEveryS,
        snapshotS,
        dueS,
        List.copyOf(others));
  }

  public boolean waits() {
    return !waitsOn.isEmpty();
  }

  /** The same fields again, for the state service. */
  public ObjectNode toJson() {
    ObjectNode o = Json.object();
    o.put("uid", uid)
        .put("jobclass", jobclass)
        .put("owner", owner)
        .put("shape", "sweep")
        .put("urgency", urgency.wireName())
        .put("pieces", pieces)
        .put("cores", cores)
        .put("accelerators", accelerators)
        .put("memory_gb", memoryGb)
        .put("bundle", bundle)
        .put("image_gb", imageGb)
        .put("one_zone", oneZone)
        .put("spread", spread)
        .put("loaners", loaners)
        .put("expect_s", expectS)
        .put("snapshot_every_s", snapshotEveryS)
        .put("snapshot_s", snapshotS);
    if (site != null) {
      o.put("site", site);
    }
    if (hasDeadline()) {
      o.put("due_s", dueS);
    }
    if (flavors != null) {
      var a = o.putArray("flavors");
      flavors.forEach(a::add);
    }
    if (waits()) {
      var a = o.putArray(WAITS_ON);
      waitsOn.forEach(a::add);
    }
    return o;
  }

  public boolean allows(String flavor, String zone, boolean spot) {
    return (flavors == null || flavors.contains(flavor))
        && (site == null || site.equals(zone))
        && (loaners || !spot);
  }

  /** The most tasks that may be in one zone at a time. */
  public int zoneLimit() {
    return spread ? (pieces + 1) / 2 : pieces;
  }
}
