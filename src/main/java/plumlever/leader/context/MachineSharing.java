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
 * The pool of shards that share machines, as seen by a leader. The default methods are for a leader
 * whose shard belongs to no pool: the leader owns all machines, and nothing is read or stored.
 */
public interface MachineSharing {
  /**
   * The implementation for a leader whose shard belongs to no pool; the leader owns all machines.
   */
  MachineSharing NONE = new MachineSharing() {};

  /** Returns whether this leader's shard belongs to a pool. */
  default boolean inPool() {
    return false;
  }

  /**
   * Returns whether a heartbeat with a token of a later term proves that this leader's term has
   * ended. In a pool it does not: the shards of a pool number their terms from one counter, so the
   * later term may belong to another shard.
   */
  default boolean laterTermEndsThisOne() {
    return !inPool();
  }

  /**
   * Loads the stored records of the pool, which were read after the election of this leader.
   *
   * @param readSentMicros time at which the read of these records was sent
   */
  default void poolRecordsRead(StateClient.Listing pool, long readSentMicros) {}

  /** Returns whether a machine listed by the cloud belongs to this shard. */
  default boolean isOwn(ListedMachine listed) {
    return true;
  }

  /** Returns whether the stored records of the pool mark the machine for return to the cloud. */
  default boolean isRecordedForReturn(String machine) {
    return false;
  }

  /**
   * Responds to the heartbeat if its machine belongs to another shard, or if this shard must not
   * apply the heartbeat yet.
   *
   * @return true if the heartbeat has been answered
   */
  default boolean respondUnlessOwn(Heartbeat heartbeat, Responder out) {
    return false;
  }

  /**
   * Claims rented machines for this shard.
   *
   * @param onClaimed receives each machine once it is recorded as this shard's
   */
  default void claimRented(List<String> machines, Consumer<String> onClaimed) {
    machines.forEach(onClaimed);
  }

  /**
   * Records that these machines are to be returned to the cloud.
   *
   * @param onRecorded called once the record is stored; after that no other shard can become the
   *     owner of the machines
   */
  default void recordReturns(List<Machine> machines, Runnable onRecorded) {
    onRecorded.run();
  }

  /** Called when the machines have been returned and no longer exist. */
  default void machinesReturned(List<Machine> machines) {}

  /**
   * Returns whether the attempt belongs to a foreign task, that is a task of another shard, which
   * may be on the machine.
   */
  default boolean isForeign(Machine machine, long attempt) {
    return false;
  }

  /** Called when the leader has applied a heartbeat of one of this shard's machines. */
  default void heartbeatApplied(Machine machine, Heartbeat heartbeat) {}

  /**
   * Returns what this leader knows about the foreign tasks (tasks of other shards) that may be on
   * the machine, for the decision whether its lease may be renewed.
   */
  default ForeignTaskEvidence foreignTaskEvidence(Machine machine) {
    return ForeignTaskEvidence.NONE;
  }

  /**
   * Returns the commands that the originating shards have requested for their foreign tasks on this
   * machine.
   */
  default List<WorkerCommand> foreignTaskCommands(Machine machine, Heartbeat heartbeat) {
    return List.of();
  }

  /**
   * Called when the machine's lease has certainly expired, so that none of the tasks on it can
   * still be running.
   */
  default void leaseExpired(Machine machine) {}

  /**
   * Responds to a heartbeat that the leader of the machine's shard relays for this shard's tasks.
   */
  default void respondToRelayed(RelayedHeartbeat relayed, Responder out) {}

  /**
   * Offers the transfer of a machine to another shard, regardless of the sharing policy.
   *
   * @return false if the machine cannot be transferred now
   */
  default boolean offerTransfer(String machine, String shard) {
    return false;
  }

  /** Returns whether machines may be rented; false while other shards may provide the capacity. */
  default boolean mayRent() {
    return true;
  }

  /** Returns whether idle machines may be returned; false while a shard may need them. */
  default boolean mayReturnIdle() {
    return true;
  }

  /** Returns the machines that are being transferred to this shard. */
  default List<RentalPlan.RentalOption> incomingMachines() {
    return List.of();
  }

  /**
   * Returns the part of the team's resource limit that this shard may use; the shards of a pool
   * divide each limit among themselves. 0 stands for a resource without a limit.
   */
  default LimitParts.Part teamLimit(PlatformConfiguration.Team team) {
    return new LimitParts.Part(team.maxCores(), team.maxAccelerators());
  }

  /** Called when the leader's term has ended. Nothing is read or stored afterwards. */
  default void close() {}
}
