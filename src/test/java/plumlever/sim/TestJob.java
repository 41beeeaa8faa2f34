package plumlever.sim;

import java.util.List;
import plumlever.wire.JobSpec;
import plumlever.wire.Priority;

/**
 * Builds a job for a test, which sets only the properties that matter to the test. The default is
 * one task with one core and 1 GB of memory that may run on any machine for 10 s, without
 * checkpoints and without a deadline.
 */
public final class TestJob {
  private final String uid;
  private String jobClass = "c0";
  private String team = "blue";
  private Priority priority = Priority.STANDARD;
  private int taskCount = 1;
  private double cores = 1;
  private double accelerators;
  private double memoryGb = 1;
  private String image = "img";
  private double imageGb = 1;
  private List<String> machineTypes;
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spotAllowed = true;
  private double expectedRunS = 10;
  private double checkpointIntervalS;
  private double checkpointS;
  private double deadlineS = JobSpec.NO_DEADLINE;
  private List<String> dependencies = List.of();

  private TestJob(String uid) {
    this.uid = uid;
  }

  public static TestJob job(String uid) {
    return new TestJob(uid);
  }

  public TestJob jobClass(String name) {
    jobClass = name;
    return this;
  }

  public TestJob team(String name) {
    team = name;
    return this;
  }

  public TestJob priority(Priority value) {
    priority = value;
    return this;
  }

  public TestJob tasks(int count) {
    taskCount = count;
    return this;
  }

  public TestJob cores(double perTask) {
    cores = perTask;
    return this;
  }

  public TestJob accelerators(double perTask) {
    accelerators = perTask;
    return this;
  }

  public TestJob memoryGb(double perTask) {
    memoryGb = perTask;
    return this;
  }

  public TestJob image(String name) {
    image = name;
    return this;
  }

  public TestJob imageGb(double size) {
    imageGb = size;
    return this;
  }

  public TestJob machineTypes(List<String> names) {
    machineTypes = names;
    return this;
  }

  public TestJob zone(String name) {
    zone = name;
    return this;
  }

  public TestJob oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  public TestJob spread(boolean value) {
    spread = value;
    return this;
  }

  public TestJob spotAllowed(boolean value) {
    spotAllowed = value;
    return this;
  }

  public TestJob runS(double expected) {
    expectedRunS = expected;
    return this;
  }

  /** Sets the interval and the duration of checkpoints, in seconds. */
  public TestJob checkpoints(double intervalS, double durationS) {
    checkpointIntervalS = intervalS;
    checkpointS = durationS;
    return this;
  }

  public TestJob deadlineS(double afterSubmission) {
    deadlineS = afterSubmission;
    return this;
  }

  public TestJob dependencies(List<String> uids) {
    dependencies = uids;
    return this;
  }

  /** Returns the job specification as a user would submit it. */
  public JobSpec build() {
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
        dependencies);
  }
}
