package plumlever.election;

/**
 * A candidate for leadership: one run of a controller process. After a restart, the controller is a
 * different candidate with the same label.
 *
 * @param label the label of the controller
 * @param nonce a random value chosen when the process started
 */
record Candidate(String label, String nonce) {}
