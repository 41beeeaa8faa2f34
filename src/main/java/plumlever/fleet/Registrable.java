package plumlever.fleet;

/**
 * What has to be on record in the state service before anything is started on it or of it, so that
 * a later leader finds it there.
 */
public abstract class Registrable {
  private RegistrationState registration = RegistrationState.NONE;

  /** Only the package's own items can be registered. */
  Registrable() {}

  /** How far the registration has got. */
  public final RegistrationState registration() {
    return registration;
  }

  /** The registration has got this far. */
  public final void setRegistration(RegistrationState state) {
    registration = state;
  }
}
