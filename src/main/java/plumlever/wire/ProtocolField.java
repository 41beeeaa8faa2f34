package plumlever.wire;

/**
 * Names of JSON fields in the messages of users, workers and the cloud. Only this class maps these
 * field names to the names used in the source code: a constant's name is the one used in the source
 * code, and its value is the field name.
 */
public final class ProtocolField {
  public static final String ACCELERATORS = "accelerators";
  public static final String ATTEMPT = "try";
  public static final String ATTEMPTS = "pieces";
  public static final String CACHE_GB = "cache_gb";
  public static final String CHECKPOINT_INTERVAL_S = "snapshot_every_s";
  public static final String CHECKPOINT_S = "snapshot_s";
  public static final String COMMANDS = "orders";
  public static final String COMMAND_TYPE = "verb";
  public static final String CORES = "cores";
  public static final String COUNT = "count";
  public static final String DEADLINE_S = "due_s";
  public static final String DEPENDENCIES = "waits_on";
  public static final String ENDPOINT = "endpoint";
  public static final String EXIT_CAUSE = "exit_cause";
  public static final String EXPECTED_RUN_S = "expect_s";
  public static final String FENCING_TOKEN = "baton";
  public static final String FETCH_GB_PER_S = "fetch_gb_per_s";
  public static final String GRACE_PERIOD_S = "wind_down_s";
  public static final String HOURLY_PRICE = "hourly";
  public static final String IMAGE = "bundle";
  public static final String IMAGE_GB = "image_gb";
  public static final String INCARNATION = "tenure";
  public static final String JOB_CLASS = "jobclass";
  public static final String JOB_ID = "uid";
  public static final String JOB_SHAPE = "shape";
  public static final String LEADER = "foreman";
  public static final String LISTED_MACHINE_ID = "uid";
  public static final String MACHINE_ID = "host";
  public static final String MACHINE_IDS = "hosts";
  public static final String MACHINE_TYPE = "flavor";
  public static final String MACHINE_TYPES = "flavors";
  public static final String MACHINE_TYPE_NAME = "sku";
  public static final String MEMORY_GB = "memory_gb";
  public static final String ONE_ZONE = "one_zone";
  public static final String PREEMPTION_NOTICE_S = "reclaim_in_s";
  public static final String PRIORITY = "urgency";
  public static final String RENTAL_REQUEST = "rental";
  public static final String SAVED = "saved";
  public static final String SEQUENCE_NUMBER = "tick";
  public static final String SPOT = "loaners";
  public static final String SPOT_PRICE = "low_price";
  public static final String SPREAD = "spread";
  public static final String STARTUP_S = "startup_s";
  public static final String STATUS = "status";
  public static final String TASK = "piece";
  public static final String TASK_COUNT = "pieces";
  public static final String TEAM = "owner";
  public static final String ZONE = "site";
  public static final String ZONES = "sites";

  private ProtocolField() {}
}
