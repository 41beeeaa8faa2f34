package plumlever.election;

/**
 * Who stands for election: one life of one controller. A process that starts anew is another
 * candidate, although it bears the same label.
 *
 * @param label of the controller
 * @param nonce chosen at random when the process started
 */
record Candidate(String label, String nonce) {}
