package plumlever.sharing;

/**
 * A machine's name, split into a series and a number, so that machines with consecutive names have
 * consecutive numbers.
 *
 * @param series the name without its trailing digits, and the count of these digits
 * @param number the value of the trailing digits
 */
public record MachineId(String series, int number) {
  /** Maximum number of trailing digits that are parsed: nine digits always fit into an int. */
  private static final int MAX_DIGITS = 9;

  /** Splits a machine's name; a name without trailing digits has the number 0. */
  public static MachineId of(String name) {
    int start = name.length();
    while (start > 0
        && name.length() - start < MAX_DIGITS
        && Character.isDigit(name.charAt(start - 1))) {
      start--;
    }
    int digits = name.length() - start;
    return new MachineId(
        name.substring(0, start) + "~" + digits,
        digits == 0 ? 0 : Integer.parseInt(name.substring(start)));
  }
}
