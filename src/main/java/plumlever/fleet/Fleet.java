package plumlever.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.ExitCause;
import plumlever.wire.JobSpec;

/** All machines and attempts of a term, with the resources that each team's attempts use. */
public final class Fleet {
  /** Resources that a team's attempts use. */
  public static final class TeamUsage {
    private double cores;
    private double accelerators;

    /** Processor cores in use. */
    public double cores() {
      return cores;
    }

    /** Accelerators in use. */
    public double accelerators() {
      return accelerators;
    }

    private void add(JobSpec task) {
      cores += task.cores();
      accelerators += task.accelerators();
    }

    private void subtract(JobSpec task) {
      cores -= task.cores();
      accelerators -= task.accelerators();
    }
  }

  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** Machines of other shards that may hold tasks of this one. */
  private final Map<String, Machine> transferred = new LinkedHashMap<>();

  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
  private final long term;
  private final AttemptNumbers attemptNumbers;

  /** The fleet of a term that has started nothing yet. */
  public Fleet(long term) {
    this(term, new AttemptNumbers(term));
  }

  Fleet(long term, AttemptNumbers attemptNumbers) {
    this.term = term;
    this.attemptNumbers = attemptNumbers;
  }

  /** The machines of this shard. */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /** The machine of this shard with that name, or null. */
  public Machine machine(String id) {
    return machines.get(id);
  }

  /** The machine belongs to this shard from now on. */
  public void add(Machine machine) {
    machine.tokens().startTerm(Math.max(term, machine.tokens().term()));
    machines.put(machine.id(), machine);
  }

  /** The lowest fencing token of a term: a leader may raise it for each machine as it needs. */
  public static long firstToken(long term) {
    return FencingTokens.firstOf(term);
  }

  /** The term, or the number of a machine's transfer, that a fencing token belongs to. */
  public static long termOf(long token) {
    return FencingTokens.termOf(token);
  }

  /** The machine of another shard with that name if it may hold tasks of this one, or null. */
  public Machine transferredMachine(String id) {
    return transferred.get(id);
  }

  /** All machines of other shards that may hold tasks of this one. */
  public Collection<Machine> transferredMachines() {
    return transferred.values();
  }

  /**
   * The machine belongs to another shard from now on, and may hold tasks of this one.
   *
   * @param number of its transfer, whose tokens are higher than any used here
   */
  public void transferOut(Machine machine, long number) {
    machines.remove(machine.id(), machine);
    machine.tokens().startTerm(number);
    transferred.put(machine.id(), machine);
  }

  /**
   * No task of this shard is on the other shard's machine any more, or it belongs to this shard.
   */
  public void removeTransferred(Machine machine) {
    transferred.remove(machine.id(), machine);
  }

  /** The machine is gone, or another object takes its place. */
  public void remove(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  /** Starts an attempt, which from now on may run on the machine. */
  public Attempt startAttempt(
      Job job, int task, Machine machine, StartChannel channel, long nowMicros) {
    AttemptOrigin origin =
        switch (channel) {
          case DIRECT_COMMAND -> AttemptOrigin.directCommand(machine.tokens().current());
          case HEARTBEAT_ANSWER -> AttemptOrigin.answerTo(machine.contact().ownSequenceNumber());
        };
    return register(new Attempt(job, task, attemptNumbers.next(), machine, origin, nowMicros));
  }

  /** Takes in an attempt of an earlier term that its machine reports. */
  public Attempt adoptAttempt(Job job, int task, long id, Machine machine, long nowMicros) {
    return register(new Attempt(job, task, id, machine, AttemptOrigin.REPORTED, nowMicros));
  }

  /**
   * True when attempt numbers come near those of the next term: with thousands of machines, a term
   * that lasts for days gets there.
   */
  public boolean attemptNumbersRunOut() {
    return attemptNumbers.nearlyExhausted();
  }

  /** The same of the tokens of one machine, which are raised with each direct command. */
  public boolean tokensRunOut(Machine machine) {
    return machine.tokens().nearlyExhausted();
  }

  /** True for the number of an attempt that a leader of an earlier term started. */
  public boolean isOfEarlierTerm(long attemptId) {
    return attemptNumbers.isOfEarlierTerm(attemptId);
  }

  private Attempt register(Attempt attempt) {
    attempt.machine().load().add(attempt);
    attempt.job().addAttempt(attempt);
    JobSpec spec = attempt.job().spec();
    usage(spec.team()).add(spec);
    return attempt;
  }

  /**
   * The attempt is surely over: reported as ended, missing from a heartbeat that would list it, of
   * a worker incarnation that has ended, or on a machine that was deleted. Its resources and its
   * part of the quota are free from now on. Repeated calls change nothing.
   *
   * @param cause as reported, or null without a report
   */
  public void endAttempt(Attempt attempt, ExitCause cause) {
    if (attempt.over()) {
      return;
    }
    attempt.end(cause);
    attempt.job().removeAttempt(attempt);
    JobSpec spec = attempt.job().spec();
    usage(spec.team()).subtract(spec);
  }

  /** The attempt is over, and its machine does not list it any more. */
  public void removeAttempt(Attempt attempt) {
    endAttempt(attempt, attempt.exitCause());
    attempt.machine().load().remove(attempt);
  }

  /** What the team's attempts use, kept up to date. */
  public TeamUsage usage(String team) {
    return usageByTeam.computeIfAbsent(team, name -> new TeamUsage());
  }
}
