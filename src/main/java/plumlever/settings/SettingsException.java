package plumlever.settings;

/**
 * Settings that cannot be used; the one-line message names the file, the key and the reason. It has
 * neither stack trace nor cause, since the message is all that an operator sees.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param message file, key and reason
   */
  public SettingsException(String message) {
    super(message, null, false, false);
  }
}
