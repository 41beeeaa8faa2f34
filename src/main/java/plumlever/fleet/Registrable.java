package plumlever.fleet;

/** What has to be on record in the state service before anything is ordered of it. */
public interface Registrable {
  RegistrationState registration();

  void setRegistration(RegistrationState registration);
}
