package plumlever.leader.scheduling;

import plumlever.fleet.Job;

/** How many tasks of one job are planned for one machine; they go out with its next command. */
public final class PlannedTasks {
  private final Job job;
  private int count;

  PlannedTasks(Job job) {
    this.job = job;
  }

  Job job() {
    return job;
  }

  int count() {
    return count;
  }

  void addTask() {
    count++;
  }
}
