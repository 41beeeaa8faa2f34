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
    String jobClass,
    String team,
    Priority priority,
    int taskCount,
    double cores,
    double accelerators,
    double memoryGb,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    double expectedRunS,
    double checkpointIntervalS,
    double checkpointS,
    double deadlineS,
    List<String> dependencies) {

  /** A job that waits for no other. */
  public JobSpec(
      String uid,
      String jobClass,
      String team,
      Priority priority,
      int taskCount,
      double cores,
      double accelerators,
      double memoryGb,
      String image,
      double imageGb,
      List<String> machineTypes,
      String zone,
      boolean oneZone,
      boolean spread,
      boolean spotAllowed,
      double expectedRunS,
      double checkpointIntervalS,
      double checkpointS,
      double deadlineS) {
    this(
        uid,
        jobClass,
        team,
        priority,
        taskCount,
        cores,
        accelerators,
        memoryGb,
        image,
        imageGb,
        machineTypes,
        zone,
        oneZone,
        spread,
        spotAllowed,
        expectedRunS,
        checkpointIntervalS,
        checkpointS,
        deadlineS,
        List.of());
  }

  public static final int MAX_TASKS = 100_000;

  /** Stands in {@code deadlineS} for a job with no deadline. */
  public static final double NO_DEADLINE = -1;

  /** The only shape of jobs that this service runs: an array of independent tasks. */
  private static final String JOB_ARRAY = "sweep";

  private static final Pattern UID = Pattern.compile("job-[0-9]{1,18}");

  public static boolean validUid(String uid) {
    return uid != null && UID.matcher(uid).matches();
  }

  public boolean hasDeadline() {
    return deadlineS >= 0;
  }

  public boolean savesCheckpoints() {
    return checkpointIntervalS > 0;
  }

  /**
   * Reads and checks every field; {@code shape} other than a sweep is not something this service
   * runs.
   */
  public static JobSpec parse(ObjectNode object) throws InvalidMessageException {
    String uid = Json.text(object, ProtocolField.JOB_ID);
    if (!validUid(uid)) {
      throw new InvalidMessageException("uid must be job- and digits");
    }
    if (!JOB_ARRAY.equals(Json.text(object, ProtocolField.JOB_SHAPE))) {
      throw new InvalidMessageException("shape is unknown");
    }
    List<String> machineTypes = null;
    JsonNode node = object.get(ProtocolField.MACHINE_TYPES);
    if (node != null && !node.isNull()) {
      if (!node.isArray() || node.isEmpty() || node.size() > 100) {
        throw new InvalidMessageException(
            ProtocolField.MACHINE_TYPES + " must be null or a list of 1 to 100 names");
      }
      machineTypes = new ArrayList<>();
      for (JsonNode element : node) {
        if (!element.isTextual() || element.textValue().isEmpty()) {
          throw new InvalidMessageException(ProtocolField.MACHINE_TYPES + " must hold names");
        }
        machineTypes.add(element.textValue());
      }
    }
    double cores = Json.amount(object, "cores", 0);
    double accelerators = Json.amount(object, "accelerators", 0);
    double memory = Json.amount(object, "memory_gb", 0);
    return new JobSpec(
        uid,
        Json.text(object, ProtocolField.JOB_CLASS),
        Json.text(object, ProtocolField.TEAM),
        Priority.of(Json.text(object, ProtocolField.PRIORITY)),
        (int) Json.whole(object, ProtocolField.TASK_COUNT, 1, MAX_TASKS),
        cores,
        accelerators,
        memory,
        Json.text(object, ProtocolField.IMAGE),
        Json.amount(object, "image_gb", 0),
        machineTypes == null ? null : List.copyOf(machineTypes),
        Json.textOrNull(object, ProtocolField.ZONE),
        Json.flag(object, "one_zone"),
        Json.flag(object, "spread"),
        Json.flag(object, ProtocolField.SPOT),
        Json.amount(object, ProtocolField.EXPECTED_RUN_S, 0),
        Json.amount(object, ProtocolField.CHECKPOINT_INTERVAL_S, 0),
        Json.amount(object, ProtocolField.CHECKPOINT_S, 0),
        Json.absent(object, ProtocolField.DEADLINE_S)
            ? NO_DEADLINE
            : Json.amount(object, ProtocolField.DEADLINE_S, 0),
        dependencies(object));
  }

  /**
   * The jobs that have to be done before this one starts, each once; a body holds a few thousand at
   * most.
   */
  private static List<String> dependencies(ObjectNode object) throws InvalidMessageException {
    JsonNode list = object.get(ProtocolField.DEPENDENCIES);
    if (list == null || list.isNull()) {
      return List.of();
    }
    if (!list.isArray()) {
      throw new InvalidMessageException(ProtocolField.DEPENDENCIES + " must be a list of job ids");
    }
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode element : list) {
      if (!element.isTextual() || !validUid(element.textValue())) {
        throw new InvalidMessageException(ProtocolField.DEPENDENCIES + " must hold job ids");
      }
      names.add(element.textValue());
    }
    return List.copyOf(names);
  }

  /** The same job with another list of those that it waits on. */
  public JobSpec withDependencies(List<String> others) {
    return new JobSpec(
        uid,
        jobClass,
        team,
        priority,
        taskCount,
        cores,
        accelerators,
        memoryGb,
        image,
        imageGb,
        machineTypes,
        zone,
        oneZone,
        spread,
        spotAllowed,
        expectedRunS,
        checkpointIntervalS,
        checkpointS,
        deadlineS,
        List.copyOf(others));
  }

  public boolean hasDependencies() {
    return !dependencies.isEmpty();
  }

  /** The same fields again, for the state service. */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    object
        .put(ProtocolField.JOB_ID, uid)
        .put(ProtocolField.JOB_CLASS, jobClass)
        .put(ProtocolField.TEAM, team)
        .put(ProtocolField.JOB_SHAPE, JOB_ARRAY)
        .put(ProtocolField.PRIORITY, priority.wireName())
        .put(ProtocolField.TASK_COUNT, taskCount)
        .put("cores", cores)
        .put("accelerators", accelerators)
        .put("memory_gb", memoryGb)
        .put(ProtocolField.IMAGE, image)
        .put("image_gb", imageGb)
        .put("one_zone", oneZone)
        .put("spread", spread)
        .put(ProtocolField.SPOT, spotAllowed)
        .put(ProtocolField.EXPECTED_RUN_S, expectedRunS)
        .put(ProtocolField.CHECKPOINT_INTERVAL_S, checkpointIntervalS)
        .put(ProtocolField.CHECKPOINT_S, checkpointS);
    if (zone != null) {
      object.put(ProtocolField.ZONE, zone);
    }
    if (hasDeadline()) {
      object.put(ProtocolField.DEADLINE_S, deadlineS);
    }
    if (machineTypes != null) {
      var array = object.putArray(ProtocolField.MACHINE_TYPES);
      machineTypes.forEach(array::add);
    }
    if (hasDependencies()) {
      var array = object.putArray(ProtocolField.DEPENDENCIES);
      dependencies.forEach(array::add);
    }
    return object;
  }

  /** True if a task may run on such a machine; rules about several tasks aside. */
  public boolean allows(String machineType, String machineZone, boolean spot) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && (zone == null || zone.equals(machineZone))
        && (spotAllowed || !spot);
  }

  /** The most tasks that may be in one zone at a time. */
  public int maxTasksPerZone() {
    return spread ? (taskCount + 1) / 2 : taskCount;
  }
}
