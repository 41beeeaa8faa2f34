package plumlever.leader.scheduling;

import plumlever.fleet.Job;

/**
 * Number of tasks of one job that are planned for one machine. The tasks start with the next
 * command to the machine.
 */
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
