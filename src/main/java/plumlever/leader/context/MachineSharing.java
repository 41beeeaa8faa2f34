package plumlever.leader.context;

import java.util.List;
import java.util.function.Consumer;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.lease.ForeignTaskEvidence;
import plumlever.scaling.RentalPlan;
import plumlever.settings.PlatformConfiguration;
import plumlever.sharing.LimitParts;
import plumlever.store.StateClient;
import plumlever.wire.Heartbeat;
import plumlever.wire.ListedMachine;
import plumlever.wire.RelayedHeartbeat;
import plumlever.wire.WorkerCommand;

/**
 * What a leader has to know of the pool that its machines belong to. The defaults hold without a
 * pool: all machines are its own, and nothing is read or stored.
 */
public interface MachineSharing {
  /** A leader that has all machines for itself. */
  MachineSharing NONE = new MachineSharing() {};

  /** True where this is one shard of a pool. */
  default boolean inPool() {
    return false;
  }

  /**
   * True where a token of a later term proves that this term is over. The shards of a pool number
   * their terms from one counter, so there it may be another shard's.
   */
  default boolean laterTermEndsThisOne() {
    return !inPool();
  }

  /**
   * Takes the records of the pool, read after the term had been taken.
   *
   * @param askedMicros when the read had been sent
   */
  default void poolRecordsRead(StateClient.Listing pool, long askedMicros) {}

  /** True if a machine that the cloud lists is this shard's. */
  default boolean isOwn(ListedMachine listed) {
    return true;
  }

  /** True for a machine of this shard that is on record as one to be returned. */
  default boolean mustReturn(String machine) {
    return false;
  }

  /**
   * Answers the heartbeat of a machine that is not this shard's, or that it may not answer now.
   *
   * @return true if it has been answered
   */
  default boolean answerUnlessOwn(Heartbeat heartbeat, Responder out) {
    return false;
  }

  /**
   * Makes rented machines this shard's own.
   *
   * @param claimed takes each machine once it is on record as this shard's
   */
  default void claimRented(List<String> machines, Consumer<String> claimed) {
    machines.forEach(claimed);
  }

  /**
   * Has it recorded that these machines are to be returned.
   *
   * @param recorded runs once that is stored; from then on nobody else can own them
   */
  default void recordReturns(List<Machine> machines, Runnable recorded) {
    recorded.run();
  }

  /** The machines do not exist any more. */
  default void machinesReturned(List<Machine> machines) {}

  /** True for an attempt of another shard that may be on the machine. */
  default boolean isForeign(Machine machine, long attempt) {
    return false;
  }

  /** A heartbeat of one of this shard's machines was applied to what the leader knows. */
  default void heartbeatApplied(Machine machine, Heartbeat heartbeat) {}

  /** What is known of the jobs of other shards whose tasks may be on the machine. */
  default ForeignTaskEvidence foreignTaskEvidence(Machine machine) {
    return ForeignTaskEvidence.NONE;
  }

  /** What the shards whose tasks are on the machine want done with them. */
  default List<WorkerCommand> foreignTaskCommands(Machine machine, Heartbeat heartbeat) {
    return List.of();
  }

  /** The lease of the machine has surely expired: none of its tasks can still run. */
  default void leaseExpired(Machine machine) {}

  /**
   * Answers a heartbeat that the leader of the machine's shard passes on for this shard's tasks.
   */
  default void answerRelayed(RelayedHeartbeat relayed, Responder out) {}

  /**
   * Gives a machine to another shard, whatever the policy says.
   *
   * @return false if it is not one that can be given now
   */
  default boolean offerTransfer(String machine, String shard) {
    return false;
  }

  /** False while capacity that is lacking may still come from other shards. */
  default boolean mayRent() {
    return true;
  }

  /** False while an idle machine may be of use to some shard. */
  default boolean mayReturnIdle() {
    return true;
  }

  /** Machines that are being given to this shard. */
  default List<RentalPlan.RentalOption> incomingMachines() {
    return List.of();
  }

  /** What this shard may use of the team's limit; a resource without a limit has 0. */
  default LimitParts.Part teamLimit(PlatformConfiguration.Team team) {
    return new LimitParts.Part(team.maxCores(), team.maxAccelerators());
  }

  /** The term has ended: nothing is read or stored any more. */
  default void close() {}
}
