package plumlever.knownred;

/**
 * A line of the list of known failing tests.
 *
 * @param testClass the fully qualified name of the test class
 * @param method the name of the test method, without parameters
 * @param command the command and the seed that reproduce the failure
 * @param observation the observed failure
 * @param issue the issue that tracks the fix
 */
record KnownRedEntry(
    String testClass, String method, String command, String observation, String issue) {

  /** Returns the entry in the form of a line of the list. */
  String line() {
    return String.join(" | ", testClass + "#" + method, command, observation, issue);
  }
}
