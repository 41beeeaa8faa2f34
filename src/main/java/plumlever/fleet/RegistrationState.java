package plumlever.fleet;

/**
 * Whether the state service lists a machine among those that may hold tasks, or a job among those
 * that may be on one.
 */
public enum RegistrationState {
  /** No record names it, and none is being written. */
  NONE,
  /** A record that names it is being written; the outcome is open. */
  WRITING,
  /** A record that names it is known to be stored. */
  STORED
}
