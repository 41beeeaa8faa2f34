package plumlever.leader.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import plumlever.fleet.Machine;
import plumlever.leader.context.TermContext;
import plumlever.settings.SharingSettings;
import plumlever.sharing.OwnerRecord;
import plumlever.sharing.PoolView;
import plumlever.sharing.TransferRecord;
import plumlever.store.Transaction;

/**
 * Claims machines without an owner for this shard, and retires machines that are to be returned to
 * the cloud. Before the return, the owner of the machine is set to a name that no shard has: a
 * return that the cloud carries out late can then not remove a machine in use.
 */
final class OwnerClaims {
  /**
   * Time after which a machine without a recorded owner is claimed. Such a machine comes from a
   * rental whose response never reached the renting shard.
   */
  private static final long UNCLAIMED_MICROS = 15_000_000;

  private static final String RETIRED_SUFFIX = "!";

  private final Logger log;
  private final TermContext context;
  private final String ownShard;
  private final PoolView view;
  private final PoolWriter writer;
  private final Map<String, Long> unclaimedSince = new HashMap<>();
  private final Set<String> claiming = new HashSet<>();
  private final Set<String> retiring = new HashSet<>();

  OwnerClaims(TermContext context, SharingSettings sharing, PoolView view, PoolWriter writer) {
    this.context = context;
    this.log = context.loggerProvider().of(OwnerClaims.class);
    this.ownShard = sharing.ownShard().name();
    this.view = view;
    this.writer = writer;
  }

  private static String retiredHolder(String shard) {
    return shard + RETIRED_SUFFIX;
  }

  /**
   * Returns true if a leader of this shard has retired the machine: the owner record names no shard
   * as its owner, because the machine is to be returned to the cloud.
   */
  boolean isRetired(String machine) {
    return view.holder(machine).equals(Optional.of(retiredHolder(ownShard)));
  }

  /**
   * Claims the machine once it has been without an owner for {@link #UNCLAIMED_MICROS}. Called each
   * time that the cloud lists the machine or that the machine sends a heartbeat.
   */
  void noteUnownedMachine(String machine) {
    long now = context.loop().nowMicros();
    if (view.holder(machine).isPresent() || claiming.contains(machine)) {
      unclaimedSince.remove(machine);
      return;
    }
    if (unclaimedSince.size() > 2 * context.platform().maxFileDescriptors()) {
      unclaimedSince.values().removeIf(since -> now - since > 2 * UNCLAIMED_MICROS);
    }
    long since = unclaimedSince.computeIfAbsent(machine, id -> now);
    if (now - since > UNCLAIMED_MICROS) {
      unclaimedSince.remove(machine);
      claim(
          List.of(machine),
          claimed -> log.info("claimed machine {}, which had no owner on record", claimed));
    }
  }

  /**
   * Records this shard as the owner of each given machine that has no owner.
   *
   * @param claimed called for each of the machines that this shard owns afterwards
   */
  void claim(List<String> machines, Consumer<String> claimed) {
    groupByRecord(machines)
        .values()
        .forEach(
            group -> {
              claiming.addAll(group);
              writer.submit(
                  new PoolWriter.Step() {
                    @Override
                    public Optional<PoolTransaction> build() {
                      List<String> unowned =
                          group.stream().filter(name -> view.holder(name).isEmpty()).toList();
                      return buildChange(unowned, ownShard);
                    }

                    @Override
                    public void finished() {
                      claiming.removeAll(group);
                      group.stream()
                          .filter(name -> view.holder(name).equals(Optional.of(ownShard)))
                          .forEach(claimed);
                    }
                  });
            });
  }

  /**
   * Replaces the recorded owner of the machines by a name that no shard has, before the machines
   * are returned to the cloud.
   *
   * @param recorded runs once the transactions of all machines have finished
   */
  void retire(List<Machine> machines, Runnable recorded) {
    List<String> names =
        machines.stream().map(Machine::id).filter(name -> !retiring.contains(name)).toList();
    Map<String, List<String>> groups = groupByRecord(names);
    if (groups.isEmpty()) {
      recorded.run();
      return;
    }
    int[] pendingGroups = {groups.size()};
    for (List<String> group : groups.values()) {
      retiring.addAll(group);
      writer.submit(
          new PoolWriter.Step() {
            @Override
            public Optional<PoolTransaction> build() {
              List<String> owned =
                  group.stream()
                      .filter(name -> view.holder(name).equals(Optional.of(ownShard)))
                      .toList();
              return buildChange(owned, retiredHolder(ownShard));
            }

            @Override
            public void finished() {
              retiring.removeAll(group);
              if (--pendingGroups[0] == 0) {
                recorded.run();
              }
            }
          });
    }
  }

  /**
   * Removes machines that were returned to the cloud from the owner records. Stores in their
   * transfer records that they are gone, so that other shards end their tasks' attempts on them.
   */
  void recordReturned(List<Machine> machines) {
    for (List<String> group : groupByRecord(machines.stream().map(Machine::id).toList()).values()) {
      writer.submit(
          new PoolWriter.Step() {
            @Override
            public Optional<PoolTransaction> build() {
              List<String> remaining =
                  group.stream()
                      .filter(
                          name -> view.holder(name).equals(Optional.of(retiredHolder(ownShard))))
                      .toList();
              return buildChange(remaining, null);
            }

            @Override
            public void finished() {
              group.forEach(name -> unclaimedSince.remove(name));
            }
          });
    }
    machines.forEach(machine -> writer.submit(recordGone(machine.id())));
  }

  private PoolWriter.Step recordGone(String machine) {
    return new PoolWriter.Step() {
      @Override
      public Optional<PoolTransaction> build() {
        Optional<TransferRecord> record =
            view.transfer(machine)
                .map(PoolView.Versioned::value)
                .filter(OwnerClaims.this::isOwnedAndExists);
        if (record.isEmpty()) {
          return Optional.empty();
        }
        String key = TransferRecord.keyOf(machine);
        TransferRecord goneRecord = record.get().withoutTasksOf(ownShard).gone();
        PoolTransaction transaction = new PoolTransaction(view, context.term().requireTerm());
        return Optional.of(
            goneRecord.isSettled()
                ? transaction.delete(key)
                : transaction.put(key, goneRecord.toJson()));
      }

      @Override
      public void finished() {
        log.debug("machine {} is gone, also in the transfer records", machine);
      }
    };
  }

  private boolean isOwnedAndExists(TransferRecord record) {
    return record.owner().equals(ownShard) && record.state() != TransferRecord.State.GONE;
  }

  /**
   * Builds the transaction that changes the holder (the recorded owner) of machines that one owner
   * record covers.
   *
   * @param holder new holder of the machines; null to remove the machines from the owner record
   */
  private Optional<PoolTransaction> buildChange(List<String> machines, String holder) {
    if (machines.isEmpty()) {
      return Optional.empty();
    }
    String key = OwnerRecord.keyOf(machines.get(0));
    OwnerRecord record = view.owners(machines.get(0));
    for (String machine : machines) {
      record = holder == null ? record.without(machine) : record.with(machine, holder);
    }
    Transaction base = context.term().requireTerm();
    PoolTransaction transaction = new PoolTransaction(view, base);
    return Optional.of(
        record.isEmpty() ? transaction.delete(key) : transaction.put(key, record.toJson()));
  }

  private static Map<String, List<String>> groupByRecord(List<String> machines) {
    Map<String, List<String>> groups = new LinkedHashMap<>();
    machines.forEach(
        name ->
            groups.computeIfAbsent(OwnerRecord.keyOf(name), key -> new ArrayList<>()).add(name));
    return groups;
  }
}
