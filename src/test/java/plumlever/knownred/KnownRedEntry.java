package plumlever.knownred;

/**
 * One line of the list.
 *
 * @param testClass full name of the class
 * @param method name of the test method, without parameters
 * @param cause why it is red
 * @param issue where the repair is followed
 */
record KnownRedEntry(String testClass, String method, String cause, String issue) {

  /** The line as it stands in the list. */
  String line() {
    return testClass + "#" + method + " | " + cause + " | " + issue;
  }
}
