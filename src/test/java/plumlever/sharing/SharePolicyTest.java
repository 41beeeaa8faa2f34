package plumlever.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import plumlever.sharing.SharePolicy.PlannedTransfer;
import plumlever.sharing.SharePolicy.ShardState;

/**
 * Compares {@link SharePolicy} with a simple reference implementation and checks its guarantees.
 */
final class SharePolicyTest {
  private static ShardState random(String name, SplittableRandom random) {
    int machines = random.nextInt(40);
    int wanted = random.nextBoolean() ? random.nextInt(20) : 0;
    return new ShardState(
        name,
        random.nextInt(12),
        1 + random.nextInt(3),
        machines,
        wanted > 0 ? 0 : random.nextInt(machines + 1),
        wanted);
  }

  /** Reference implementation: transfers one machine at a time and recomputes all conditions. */
  private static List<PlannedTransfer> referencePlan(List<ShardState> shards, int maxPerTransfer) {
    Map<String, ShardState> state = new HashMap<>();
    List<String> names = new ArrayList<>();
    shards.forEach(shard -> state.put(shard.name(), shard));
    shards.stream().map(ShardState::name).sorted().forEach(names::add);
    Map<String, Double> share = new HashMap<>();
    shards.forEach(shard -> share.put(shard.name(), SharePolicy.shareOf(shard, shards)));
    List<String> targets = new ArrayList<>(names);
    targets.sort(
        (one, other) -> {
          double first = share.get(one) - state.get(one).machines();
          double second = share.get(other) - state.get(other).machines();
          return first == second ? one.compareTo(other) : Double.compare(second, first);
        });
    List<PlannedTransfer> transfers = new ArrayList<>();
    for (String target : targets) {
      for (String source : names) {
        int count = 0;
        for (int i = 0; i < maxPerTransfer && !source.equals(target); i++) {
          ShardState from = state.get(source);
          ShardState to = state.get(target);
          boolean idle = from.idle() > 0 && from.machines() > from.floor();
          boolean used =
              to.machines() < share.get(target)
                  && from.machines() > from.floor()
                  && from.machines() - 1 >= share.get(source)
                  && from.machines() > 1.1 * share.get(source);
          if (to.wanted() == 0 || !(idle || used)) {
            break;
          }
          state.put(source, changed(from, -1, idle ? -1 : 0, 0));
          state.put(target, changed(to, 1, 0, -1));
          count++;
        }
        if (count > 0) {
          transfers.add(new PlannedTransfer(source, target, count));
        }
      }
    }
    return transfers;
  }

  private static ShardState changed(ShardState shard, int machines, int idle, int wanted) {
    return new ShardState(
        shard.name(),
        shard.floor(),
        shard.weight(),
        shard.machines() + machines,
        shard.idle() + idle,
        shard.wanted() + wanted);
  }

  @Test
  void matchesReferenceForAnyOrderOfShards() {
    SplittableRandom random = new SplittableRandom(7);
    int roundsWithTransfers = 0;
    for (int round = 0; round < 3_000; round++) {
      List<ShardState> shards = new ArrayList<>();
      for (String name : List.of("a", "b", "c", "d").subList(0, 2 + random.nextInt(3))) {
        shards.add(random(name, random));
      }
      int maxPerTransfer = 1 + random.nextInt(10);
      List<PlannedTransfer> planned = SharePolicy.plan(shards, maxPerTransfer);
      assertEquals(referencePlan(shards, maxPerTransfer), planned, shards.toString());
      Collections.shuffle(shards, new Random(round));
      assertEquals(planned, SharePolicy.plan(shards, maxPerTransfer), shards.toString());
      roundsWithTransfers += planned.isEmpty() ? 0 : 1;
    }
    assertTrue(roundsWithTransfers > 500, "rounds with transfers: " + roundsWithTransfers);
  }

  @Test
  void noShardDropsBelowItsFloorOrReceivesMoreThanItWants() {
    SplittableRandom random = new SplittableRandom(8);
    for (int round = 0; round < 3_000; round++) {
      List<ShardState> shards =
          List.of(random("a", random), random("b", random), random("c", random));
      Map<String, Integer> change = new HashMap<>();
      for (PlannedTransfer transfer : SharePolicy.plan(shards, 50)) {
        change.merge(transfer.from(), -transfer.machines(), Integer::sum);
        change.merge(transfer.to(), transfer.machines(), Integer::sum);
      }
      for (ShardState shard : shards) {
        int received = change.getOrDefault(shard.name(), 0);
        assertTrue(received <= shard.wanted(), shards + " " + change);
        assertTrue(
            received >= 0 || shard.machines() + received >= shard.floor(), shards + " " + change);
      }
    }
  }

  @Test
  void onlyShardsFarAboveTheirShareTransferMachinesInUse() {
    ShardState target = new ShardState("b", 0, 1, 9, 0, 5);
    assertEquals(
        List.of(), SharePolicy.plan(List.of(new ShardState("a", 0, 1, 10, 0, 0), target), 5));
    ShardState small = new ShardState("b", 0, 1, 4, 0, 5);
    assertEquals(
        List.of(new PlannedTransfer("a", "b", 5)),
        SharePolicy.plan(List.of(new ShardState("a", 0, 1, 20, 0, 3), small), 5));
  }

  @Test
  void coresNeededCountsTasksThatCannotRunSequentiallyInTime() {
    CoreDemand.RemainingWork urgent = new CoreDemand.RemainingWork("t", 10, 2, 30, 20);
    CoreDemand.RemainingWork relaxed = new CoreDemand.RemainingWork("t", 12, 1, 10, 49);
    assertEquals(20, CoreDemand.coresNeeded(List.of(urgent), Map.of()));
    assertEquals(3, CoreDemand.coresNeeded(List.of(relaxed), Map.of()));
    assertEquals(23, CoreDemand.coresNeeded(List.of(urgent, relaxed), Map.of()));
    assertEquals(8, CoreDemand.coresNeeded(List.of(urgent, relaxed), Map.of("t", 8.0)));
  }

  @Test
  void limitPartsAddUpToTheLimitAndMoveInWholeCores() {
    Map<String, Double> weights = Map.of("a", 1.0, "b", 2.0, "c", 0.5);
    LimitParts parts = LimitParts.split(100, 3, weights);
    double cores = parts.byShard().values().stream().mapToDouble(LimitParts.Part::cores).sum();
    assertEquals(100, cores);
    assertEquals(
        3, parts.byShard().values().stream().mapToDouble(LimitParts.Part::accelerators).sum());
    LimitParts moved = parts.moved("b", "a", 10, 0);
    assertEquals(parts.of("b").cores() - 10, moved.of("b").cores());
    assertEquals(parts.of("a").cores() + 10, moved.of("a").cores());
    assertEquals(
        new LimitPolicy.CoreMove("c", 6),
        LimitPolicy.plan(6.5, Map.of("a", 2.0, "c", 9.0)).orElseThrow());
    assertTrue(LimitPolicy.plan(0.5, Map.of("a", 2.0)).isEmpty());
    assertTrue(LimitPolicy.plan(8, Map.of()).isEmpty());
  }
}
