package plumlever.warmup;

import java.util.List;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/** Generates jobs of all kinds, so that the code for each kind runs during the warm-up. */
final class WarmUpJobs {
  private static final int JOB_CLASSES = 3;
  private static final int IMAGES = 5;
  private static final int TASKS = 24;
  private static final double MEMORY_GB = 2;
  private static final double IMAGE_GB = 1.5;
  private static final double RUN_S = 4;
  private static final double CHECKPOINT_INTERVAL_S = 2;
  private static final double CHECKPOINT_S = 1;
  private static final double DEADLINE_S = 60;

  /** One in this many jobs is bound to a single zone. */
  private static final int ONE_ZONE_EVERY = 7;

  /** One in this many jobs is spread over zones. */
  private static final int SPREAD_EVERY = 8;

  private WarmUpJobs() {}

  static String uid(int number) {
    return "job-" + number;
  }

  static JobSpec job(int number, String team, Priority priority) {
    boolean odd = number % 2 != 0;
    return new JobSpec(
        uid(number),
        "c" + number % JOB_CLASSES,
        team,
        priority,
        TASKS,
        odd ? 2 : 1,
        0,
        MEMORY_GB,
        "img-" + number % IMAGES,
        IMAGE_GB,
        null,
        null,
        number % ONE_ZONE_EVERY == 0,
        number % SPREAD_EVERY == 0,
        true,
        RUN_S,
        odd ? CHECKPOINT_INTERVAL_S : 0,
        CHECKPOINT_S,
        odd ? JobSpec.NO_DEADLINE : DEADLINE_S,
        List.of());
  }
}
