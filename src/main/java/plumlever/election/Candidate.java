package plumlever.election;

/**
 * A candidate for leadership: one incarnation of a controller. After a restart the process is a
 * different candidate with the same label.
 *
 * @param label the label of the controller
 * @param nonce a random value chosen when the process started
 */
record Candidate(String label, String nonce) {}
