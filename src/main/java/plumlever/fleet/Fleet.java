package plumlever.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.ExitCause;

/** All machines and attempts of a term, with what each team holds. */
public final class Fleet {
  /** Resources in use. */
  public static final class TeamUsage {
    private double cores;
    private double accelerators;

    public double cores() {
      return cores;
    }

    public double accelerators() {
      return accelerators;
    }
  }

  private static final int TERM_SHIFT = 24;
  private static final int TOKEN_SHIFT = 20;

  /** Numbers of a term that are left when it has to end: more than are given out in a second. */
  private static final long RESERVE = 1 << 16;

  private static final long LAST_ATTEMPT = (1L << TERM_SHIFT) - RESERVE;
  private static final long LAST_TOKEN = (1L << TOKEN_SHIFT) - RESERVE;

  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Machines of other cells that may hold tasks of this one. */
  private final Map<String, Machine> transferred = new LinkedHashMap<>();

  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
  private final long term;
  private long counter;

  public Fleet(long term) {
    this(term, 0);
  }

  /**
   * @param given attempt numbers of the term that count as given out
   */
  Fleet(long term, long given) {
    this.term = term;
    this.counter = given;
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Machine machine(String id) {
    return machines.get(id);
  }

  /** The machine is this cell's from now on. */
  public void add(Machine machine) {
    machine.tokens().startTerm(Math.max(term, machine.tokens().term()));
    machines.put(machine.id(), machine);
  }

  /** The least token of a term: a leader may raise it for each machine as it needs. */
  public static long firstToken(long term) {
    return term << TOKEN_SHIFT;
  }

  public static long termOf(long token) {
    return token >>> TOKEN_SHIFT;
  }

  /** A machine of another cell that may hold tasks of this one, or null. */
  public Machine transferredMachine(String id) {
    return transferred.get(id);
  }

  /** All machines of other cells that may hold tasks of this one. */
  public Collection<Machine> transferredMachines() {
    return transferred.values();
  }

  /**
   * The machine is another cell's, and may hold tasks of this one.
   *
   * @param number of its transfer, whose tokens are newer than any used here
   */
  public void transferOut(Machine machine, long number) {
    machines.remove(machine.id(), machine);
    machine.tokens().startTerm(number);
    transferred.put(machine.id(), machine);
  }

  /** No task of this cell is on the other's machine any more, or it comes back. */
  public void removeTransferred(Machine machine) {
    transferred.remove(machine.id(), machine);
  }

  /** Replaces what a rental told by what the machine itself or the list tells. */
  public void remove(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  /**
   * Attempt numbers are unique over all terms without being stored: the term is in the high bits.
   */
  public Attempt startAttempt(Job job, int task, Machine machine, boolean direct, long nowMicros) {
    long id = (term << TERM_SHIFT) | ++counter;
    return register(
        direct
            ? new Attempt(
                job,
                task,
                id,
                machine,
                machine.contact().incarnation(),
                -1,
                machine.tokens().current(),
                nowMicros)
            : new Attempt(
                job,
                task,
                id,
                machine,
                machine.contact().incarnation(),
                machine.contact().ownSequenceNumber(),
                -1,
                nowMicros));
  }

  /** An attempt of an earlier term that its machine reports. */
  public Attempt adoptAttempt(Job job, int task, long id, Machine machine, long nowMicros) {
    return register(
        new Attempt(job, task, id, machine, machine.contact().incarnation(), -1, -1, nowMicros));
  }

  /**
   * True when attempt numbers come near those of the next term: with thousands of machines a term
   * that lasts for days gets there.
   */
  public boolean attemptNumbersRunOut() {
    return counter >= LAST_ATTEMPT;
  }

  /** The same of the tokens of one machine, which are raised with each direct command. */
  public boolean tokensRunOut(Machine machine) {
    return machine.tokens().current() >= firstToken(machine.tokens().term()) + LAST_TOKEN;
  }

  public boolean isOfEarlierTerm(long attemptId) {
    return attemptId >>> TERM_SHIFT < term;
  }

  private Attempt register(Attempt attempt) {
    attempt.machine().load().add(attempt);
    attempt.job().addAttempt(attempt);
    TeamUsage usage =
        usageByTeam.computeIfAbsent(attempt.job().spec().team(), k -> new TeamUsage());
    usage.cores += attempt.job().spec().cores();
    usage.accelerators += attempt.job().spec().accelerators();
    return attempt;
  }

  /**
   * The attempt is surely over: reported as ended, missing from a heartbeat that would list it, of
   * an incarnation that has ended, or on a machine that was deleted. Its room and quota are free
   * from here on.
   */
  public void endAttempt(Attempt attempt, ExitCause cause) {
    if (attempt.over()) {
      return;
    }
    attempt.end(cause);
    attempt.job().release(attempt);
    TeamUsage usage = usageByTeam.get(attempt.job().spec().team());
    usage.cores -= attempt.job().spec().cores();
    usage.accelerators -= attempt.job().spec().accelerators();
  }

  /** Its machine does not list it any more. */
  public void removeAttempt(Attempt attempt) {
    endAttempt(attempt, attempt.exitCause());
    attempt.machine().load().remove(attempt);
  }

  public TeamUsage usage(String team) {
    return usageByTeam.computeIfAbsent(team, k -> new TeamUsage());
  }
}
