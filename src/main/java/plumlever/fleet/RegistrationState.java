package plumlever.fleet;

/**
 * Whether the state service lists a machine among those that may run tasks, or a job among those
 * whose tasks may be on a machine.
 */
public enum RegistrationState {
  /** No stored record lists the machine or job, and no write of such a record is in progress. */
  NONE,
  /** A record that lists the machine or job is being written; the outcome is not known yet. */
  WRITING,
  /** A record that lists the machine or job is stored. */
  STORED
}
