package plumlever.settings;

/** Settings that cannot be used; the one-line message names the file, the key and the reason. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public SettingsException(String message) {
    super(message, null, false, false);
  }
}
