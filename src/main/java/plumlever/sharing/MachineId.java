package plumlever.sharing;

/**
 * A machine's name, split so that machines with consecutive names have consecutive numbers.
 *
 * @param series all of the name but its last digits, and how many of these there are
 * @param number the last digits
 */
public record MachineId(String series, int number) {
  private static final int MOST_DIGITS = 9;

  /** The parts of a name; one without digits has the number 0. */
  public static MachineId of(String name) {
    int start = name.length();
    while (start > 0
        && name.length() - start < MOST_DIGITS
        && Character.isDigit(name.charAt(start - 1))) {
      start--;
    }
    int digits = name.length() - start;
    return new MachineId(
        name.substring(0, start) + "~" + digits,
        digits == 0 ? 0 : Integer.parseInt(name.substring(start)));
  }
}
