package plumlever.fleet;

/**
 * A machine or a job that must be registered in the state service before any task is started on the
 * machine or for the job, so that a later leader can find the record.
 */
public abstract class Registrable {
  private RegistrationState registration = RegistrationState.NONE;

  /** Package-private, so that only classes of this package can extend this class. */
  Registrable() {}

  /**
   * Whether a record in the state service lists this machine or job. Tasks may be started only once
   * it does.
   */
  public final RegistrationState registration() {
    return registration;
  }

  public final void setRegistration(RegistrationState state) {
    registration = state;
  }
}
