package plumlever.settings;

/**
 * Thrown for invalid settings. The one-line message names the file, the key and the reason. The
 * exception has neither stack trace nor cause, because operators see only the message.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * @param message the file, the key and the reason
   */
  public SettingsException(String message) {
    super(message, null, false, false);
  }
}
