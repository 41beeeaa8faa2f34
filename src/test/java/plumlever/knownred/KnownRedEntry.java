package plumlever.knownred;

/**
 * One line of the list.
 *
 * @param testClass full name of the class
 * @param method name of the test method, without parameters
 * @param command the command with the seed that shows the failure again
 * @param observation what was seen
 * @param issue where the repair is followed
 */
record KnownRedEntry(
    String testClass, String method, String command, String observation, String issue) {

  /** The line as it stands in the list. */
  String line() {
    return String.join(" | ", testClass + "#" + method, command, observation, issue);
  }
}
