package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A job as submitted by a user: an array of independent tasks.
 *
 * @param uid the id that the user gave the job
 * @param jobClass the class of the job, by which run times are estimated and service-level
 *     objectives apply
 * @param cores the cores that each task needs
 * @param accelerators the accelerators that each task needs
 * @param memoryGb the memory that each task needs
 * @param machineTypes the names of the machine types on which tasks may run; null for all types
 * @param zone the only zone in which tasks may run; null for any zone
 * @param oneZone true if all tasks that run at the same time must run in the same zone
 * @param spread true if at most half of the tasks, rounded up, may run in one zone at a time
 * @param spotAllowed true if tasks may run on spot machines
 * @param expectedRunS the user's estimate of the run time of a task
 * @param checkpointIntervalS the interval at which a task saves checkpoints; 0 for no checkpoints
 * @param checkpointS the time that a task needs to save a checkpoint
 * @param deadlineS the time from the submission within which the job must be done; {@link
 *     #NO_DEADLINE} for none
 * @param dependencies the ids of the jobs that must be done before this job may start
 */
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

  /** The maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  /** The value of {@code deadlineS} for a job without a deadline. */
  public static final double NO_DEADLINE = -1;

  /** The only job shape that this service supports: an array of independent tasks. */
  private static final String JOB_ARRAY = "sweep";

  private static final int MAX_MACHINE_TYPES = 100;

  private static final Pattern UID = Pattern.compile("job-[0-9]{1,18}");

  /** True if the text is a valid job id. */
  public static boolean validUid(String uid) {
    return uid != null && UID.matcher(uid).matches();
  }

  /** True if the user set a deadline. */
  public boolean hasDeadline() {
    return deadlineS >= 0;
  }

  /** True if the job's tasks save checkpoints. */
  public boolean savesCheckpoints() {
    return checkpointIntervalS > 0;
  }

  /**
   * Parses a submission and checks the type and range of every field.
   *
   * @throws InvalidMessageException if a field is invalid, naming the first invalid field, or if
   *     the job is not an array of tasks
   */
  public static JobSpec parse(ObjectNode object) throws InvalidMessageException {
    String uid = Json.text(object, ProtocolField.JOB_ID);
    if (!validUid(uid)) {
      throw new InvalidMessageException("uid must be job- and digits");
    }
    if (!JOB_ARRAY.equals(Json.text(object, ProtocolField.JOB_SHAPE))) {
      throw new InvalidMessageException("shape is unknown");
    }
    List<String> machineTypes = machineTypes(object);
    double cores = Json.amount(object, ProtocolField.CORES, 0);
    double accelerators = Json.amount(object, ProtocolField.ACCELERATORS, 0);
    double memoryGb = Json.amount(object, ProtocolField.MEMORY_GB, 0);
    return new JobSpec(
        uid,
        Json.text(object, ProtocolField.JOB_CLASS),
        Json.text(object, ProtocolField.TEAM),
        Priority.of(Json.text(object, ProtocolField.PRIORITY)),
        (int) Json.wholeNumber(object, ProtocolField.TASK_COUNT, 1, MAX_TASKS),
        cores,
        accelerators,
        memoryGb,
        Json.text(object, ProtocolField.IMAGE),
        Json.amount(object, ProtocolField.IMAGE_GB, 0),
        machineTypes,
        Json.textOrNull(object, ProtocolField.ZONE),
        Json.flag(object, ProtocolField.ONE_ZONE),
        Json.flag(object, ProtocolField.SPREAD),
        Json.flag(object, ProtocolField.SPOT),
        Json.amount(object, ProtocolField.EXPECTED_RUN_S, 0),
        Json.amount(object, ProtocolField.CHECKPOINT_INTERVAL_S, 0),
        Json.amount(object, ProtocolField.CHECKPOINT_S, 0),
        Json.isAbsent(object, ProtocolField.DEADLINE_S)
            ? NO_DEADLINE
            : Json.amount(object, ProtocolField.DEADLINE_S, 0),
        dependencies(object));
  }

  /** The names of the allowed machine types; null if all types are allowed. */
  private static List<String> machineTypes(ObjectNode object) throws InvalidMessageException {
    JsonNode list = object.get(ProtocolField.MACHINE_TYPES);
    if (list == null || list.isNull()) {
      return null;
    }
    if (!list.isArray() || list.isEmpty() || list.size() > MAX_MACHINE_TYPES) {
      throw new InvalidMessageException(
          ProtocolField.MACHINE_TYPES
              + " must be null or a list of 1 to "
              + MAX_MACHINE_TYPES
              + " names");
    }
    List<String> names = new ArrayList<>();
    for (JsonNode element : list) {
      if (!element.isTextual() || element.textValue().isEmpty()) {
        throw new InvalidMessageException(ProtocolField.MACHINE_TYPES + " must hold names");
      }
      names.add(element.textValue());
    }
    return List.copyOf(names);
  }

  /** The ids of the job's dependencies without duplicates. */
  private static List<String> dependencies(ObjectNode object) throws InvalidMessageException {
    JsonNode list = object.get(ProtocolField.DEPENDENCIES);
    if (list == null || list.isNull()) {
      return List.of();
    }
    if (!list.isArray()) {
      throw new InvalidMessageException(ProtocolField.DEPENDENCIES + " must be a list of job ids");
    }
    Set<String> uids = new LinkedHashSet<>();
    for (JsonNode element : list) {
      if (!element.isTextual() || !validUid(element.textValue())) {
        throw new InvalidMessageException(ProtocolField.DEPENDENCIES + " must hold job ids");
      }
      uids.add(element.textValue());
    }
    return List.copyOf(uids);
  }

  /** Returns a copy of the job with these dependencies in place of its own. */
  public JobSpec withDependencies(List<String> uids) {
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
        List.copyOf(uids));
  }

  /** True if other jobs must be done before this job may start. */
  public boolean hasDependencies() {
    return !dependencies.isEmpty();
  }

  /**
   * Returns the job as JSON in the form of a submission, which is also the form stored in the state
   * service.
   */
  public ObjectNode toJson() {
    ObjectNode object = Json.object();
    object
        .put(ProtocolField.JOB_ID, uid)
        .put(ProtocolField.JOB_CLASS, jobClass)
        .put(ProtocolField.TEAM, team)
        .put(ProtocolField.JOB_SHAPE, JOB_ARRAY)
        .put(ProtocolField.PRIORITY, priority.wireName())
        .put(ProtocolField.TASK_COUNT, taskCount)
        .put(ProtocolField.CORES, cores)
        .put(ProtocolField.ACCELERATORS, accelerators)
        .put(ProtocolField.MEMORY_GB, memoryGb)
        .put(ProtocolField.IMAGE, image)
        .put(ProtocolField.IMAGE_GB, imageGb)
        .put(ProtocolField.ONE_ZONE, oneZone)
        .put(ProtocolField.SPREAD, spread)
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
      ArrayNode names = object.putArray(ProtocolField.MACHINE_TYPES);
      machineTypes.forEach(names::add);
    }
    if (hasDependencies()) {
      ArrayNode uids = object.putArray(ProtocolField.DEPENDENCIES);
      dependencies.forEach(uids::add);
    }
    return object;
  }

  /**
   * True if a single task of the job may run on a machine of this type and zone, and of this kind
   * (spot or on-demand). Does not check the rules that concern several tasks, {@code oneZone} and
   * {@code spread}.
   */
  public boolean allows(String machineType, String machineZone, boolean spot) {
    return (machineTypes == null || machineTypes.contains(machineType))
        && (zone == null || zone.equals(machineZone))
        && (spotAllowed || !spot);
  }

  /** The maximum number of tasks that may run in one zone at a time. */
  public int maxTasksPerZone() {
    return spread ? (taskCount + 1) / 2 : taskCount;
  }
}
