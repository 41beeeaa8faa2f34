package plumlever.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import plumlever.wire.ExitCause;
import plumlever.wire.JobSpec;

/**
 * All machines and attempts that the leader of one term knows, and the resources that the attempts
 * of each team use.
 */
public final class Fleet {
  /** The total cores and accelerators that the tasks of a team's jobs use or may still use. */
  public static final class TeamUsage {
    private double cores;
    private double accelerators;

    public double cores() {
      return cores;
    }

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

  /** Machines that belong to other shards but may still run tasks of this shard, by machine id. */
  private final Map<String, Machine> transferred = new LinkedHashMap<>();

  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
  private final long term;
  private final AttemptNumbers attemptNumbers;

  /** Creates the fleet of a new term, without machines or attempts. */
  public Fleet(long term) {
    this(term, new AttemptNumbers(term));
  }

  Fleet(long term, AttemptNumbers attemptNumbers) {
    this.term = term;
    this.attemptNumbers = attemptNumbers;
  }

  /** The machines that belong to this shard. */
  public Collection<Machine> machines() {
    return machines.values();
  }

  /** The machine of this shard with this id, or null. */
  public Machine machine(String id) {
    return machines.get(id);
  }

  /** Adds a machine that belongs to this shard. */
  public void add(Machine machine) {
    machine.tokens().startTerm(Math.max(term, machine.tokens().term()));
    machines.put(machine.id(), machine);
  }

  /**
   * Returns the lowest fencing token of a term. The leader raises the token of each machine
   * separately.
   */
  public static long firstToken(long term) {
    return FencingTokens.firstOf(term);
  }

  /**
   * Returns the high bits of a fencing token: the term in which it was issued or, after the machine
   * was transferred between shards, the number of that transfer.
   */
  public static long termOf(long token) {
    return FencingTokens.termOf(token);
  }

  /**
   * Returns the machine with this id if the machine belongs to another shard and may run tasks of
   * this shard; otherwise null.
   */
  public Machine transferredMachine(String id) {
    return transferred.get(id);
  }

  /** The machines of other shards that may run tasks of this shard. */
  public Collection<Machine> transferredMachines() {
    return transferred.values();
  }

  /**
   * Transfers the machine to another shard. Tasks of this shard may still run on the machine.
   *
   * @param number the number of the transfer, which becomes the high bits of the machine's fencing
   *     tokens; these tokens are higher than any that this shard has issued for the machine
   */
  public void transferOut(Machine machine, long number) {
    machines.remove(machine.id(), machine);
    machine.tokens().startTerm(number);
    transferred.put(machine.id(), machine);
  }

  /**
   * Removes a machine of another shard that has no more tasks of this shard, or that has been
   * transferred back to this shard.
   */
  public void removeTransferred(Machine machine) {
    transferred.remove(machine.id(), machine);
  }

  /**
   * Removes a machine of this shard that no longer exists or that another {@link Machine} object
   * replaces.
   */
  public void remove(Machine machine) {
    machines.remove(machine.id(), machine);
  }

  /**
   * Creates an attempt whose start command is about to be sent. From now on the task may run on the
   * machine.
   */
  public Attempt startAttempt(
      Job job, int task, Machine machine, StartChannel channel, long nowMicros) {
    AttemptOrigin origin =
        switch (channel) {
          case DIRECT_COMMAND -> AttemptOrigin.directCommand(machine.tokens().current());
          case HEARTBEAT_RESPONSE ->
              AttemptOrigin.heartbeatResponse(machine.contact().heartbeatSequenceNumber());
        };
    return addAttempt(new Attempt(job, task, attemptNumbers.next(), machine, origin, nowMicros));
  }

  /**
   * Adds an attempt that this leader did not start, known from a heartbeat of the machine or from
   * the record of the machine's transfer to this shard.
   */
  public Attempt adoptAttempt(Job job, int task, long id, Machine machine, long nowMicros) {
    return addAttempt(new Attempt(job, task, id, machine, AttemptOrigin.ADOPTED, nowMicros));
  }

  /**
   * True if few attempt numbers of this term are left, which happens when a term lasts for days
   * with thousands of machines.
   */
  public boolean attemptNumbersNearlyExhausted() {
    return attemptNumbers.nearlyExhausted();
  }

  /**
   * True if few fencing tokens of this term are left for the machine. Each direct command (a
   * command sent in a call to the worker) raises the token.
   */
  public boolean tokensNearlyExhausted(Machine machine) {
    return machine.tokens().nearlyExhausted();
  }

  /** True if a leader of an earlier term, not this leader, issued this attempt number. */
  public boolean isOfEarlierTerm(long attemptId) {
    return attemptNumbers.isOfEarlierTerm(attemptId);
  }

  private Attempt addAttempt(Attempt attempt) {
    attempt.machine().load().add(attempt);
    attempt.job().addAttempt(attempt);
    JobSpec spec = attempt.job().spec();
    usage(spec.team()).add(spec);
    return attempt;
  }

  /**
   * Ends an attempt that is proven not to run any more, and frees its resources and its share of
   * the team's quota. Idempotent. The proof is one of the following: the machine reported the
   * attempt as ended; a heartbeat that would list the attempt does not list it; the worker
   * incarnation of the attempt has ended; the machine was deleted.
   *
   * @param cause the reported cause, or null if no cause was reported
   */
  public void endAttempt(Attempt attempt, ExitCause cause) {
    if (attempt.hasEnded()) {
      return;
    }
    attempt.end(cause);
    attempt.job().removeAttempt(attempt);
    JobSpec spec = attempt.job().spec();
    usage(spec.team()).subtract(spec);
  }

  /** Removes an attempt that its machine no longer lists, and ends it if it has not ended yet. */
  public void removeAttempt(Attempt attempt) {
    endAttempt(attempt, attempt.exitCause());
    attempt.machine().load().remove(attempt);
  }

  /**
   * The resources that the attempts of the team use. The returned object is updated as attempts
   * start and end.
   */
  public TeamUsage usage(String team) {
    return usageByTeam.computeIfAbsent(team, name -> new TeamUsage());
  }
}
