package plumlever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The placement compared with a slow plain model of the design's rules, on random fleets. */
final class PlacerTest {
  private static final long NOW = 1_000_000_000L;
  private static final double PADDING = 0.05;
  private static final double TIE = 0.02;
  private static final long HEDGE = 10_000_000L;
  private static final double RISK = 0.3;
  private static final double EPSILON = 1e-9;

  /** The model's machine: everything in the open, nothing computed ahead. */
  private static final class Plain {
    String zone;
    boolean spot;
    double total;
    double totalMemory;
    double free;
    double freeMemory;
    double price;
    long delay;
    long fetch;
    long up = Long.MIN_VALUE;
    boolean busy;
    final List<double[]> ends = new ArrayList<>();

    long earliest(ResourceRequest request) {
      double cores = free;
      double memory = freeMemory;
      if (cores + EPSILON >= request.cores() && memory + EPSILON >= request.memoryGb()) {
        return NOW;
      }
      List<double[]> sorted = new ArrayList<>(ends);
      sorted.sort((x, y) -> Double.compare(x[0], y[0]));
      for (double[] otherEnds : sorted) {
        cores += otherEnds[1];
        memory += otherEnds[2];
        if (cores + EPSILON >= request.cores() && memory + EPSILON >= request.memoryGb()) {
          return Math.max(NOW + 1, (long) otherEnds[0]);
        }
      }
      return Long.MAX_VALUE;
    }

    double score(ResourceRequest request) {
      return price
          * (spot && !request.saves() ? 1 + RISK : 1)
          * Math.max(request.cores() / total, request.memoryGb() / totalMemory)
          * (delay + fetch + request.runMicros());
    }
  }

  /**
   * Straight from the design: feasible before score, least score, ties to busy, free memory, free
   * processors.
   */
  private static int model(
      ResourceRequest request, List<Plain> all, Zones zones, boolean[] feasible) {
    for (double pad : new double[] {PADDING, 0}) {
      for (boolean now : new boolean[] {true, false}) {
        List<Integer> able = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
          Plain plain = all.get(i);
          long start = allowed(request, plain, zones) ? plain.earliest(request) : Long.MAX_VALUE;
          if (start == Long.MAX_VALUE || (start <= NOW) != now) {
            continue;
          }
          long runs =
              start + plain.delay + plain.fetch + (pad > 0 && !now && start > plain.up ? HEDGE : 0);
          if (runs <= request.startByMicros()
              && (request.deadlineMicros() == Long.MAX_VALUE
                  || runs + (long) (request.runMicros() * (1 + pad)) <= request.deadlineMicros())) {
            able.add(i);
          }
        }
        if (!able.isEmpty()) {
          feasible[0] = pad > 0;
          double least =
              able.stream().mapToDouble(i -> all.get(i).score(request)).min().orElseThrow();
          able.removeIf(i -> all.get(i).score(request) > least * (1 + TIE));
          int best = able.get(0);
          for (int i : able) {
            Plain first = all.get(i);
            Plain second = all.get(best);
            if (first.busy != second.busy
                ? first.busy
                : first.freeMemory != second.freeMemory
                    ? first.freeMemory > second.freeMemory
                    : first.free > second.free) {
              best = i;
            }
          }
          return best;
        }
      }
    }
    feasible[0] = false;
    int best = -1;
    long soonest = Long.MAX_VALUE;
    for (int i = 0; i < all.size(); i++) {
      Plain plain = all.get(i);
      long start = allowed(request, plain, zones) ? plain.earliest(request) : Long.MAX_VALUE;
      if (start != Long.MAX_VALUE && start + plain.delay + plain.fetch < soonest) {
        soonest = start + plain.delay + plain.fetch;
        best = i;
      }
    }
    return best;
  }

  private static boolean allowed(ResourceRequest request, Plain plain, Zones zones) {
    return (request.zone() == null || request.zone().equals(plain.zone))
        && (request.spot() || !plain.spot)
        && zones.allows(plain.zone)
        && request.cores() <= plain.total
        && request.memoryGb() <= plain.totalMemory;
  }

  @Test
  void agreesWithThePlainModelOnRandomFleets() {
    SplittableRandom random = new SplittableRandom(7);
    int placedNow = 0;
    int later = 0;
    int infeasible = 0;
    for (int round = 0; round < 3_000; round++) {
      List<Plain> plain = new ArrayList<>();
      List<PlacementCandidate> candidates = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(8); i++) {
        Plain otherPlain = new Plain();
        otherPlain.zone = random.nextBoolean() ? "a" : "b";
        otherPlain.spot = random.nextBoolean();
        otherPlain.total = random.nextBoolean() ? 4 : 16;
        otherPlain.totalMemory = otherPlain.total * 4;
        otherPlain.price = (otherPlain.spot ? 1 : 3) * (otherPlain.total == 4 ? 1.0 : 4.1);
        otherPlain.delay = random.nextInt(3) * 1_000_000L;
        otherPlain.fetch = random.nextInt(3) * 5_000_000L;
        PlacementCandidate otherCandidate =
            new PlacementCandidate(
                "m" + i,
                "f",
                otherPlain.zone,
                otherPlain.spot,
                otherPlain.total,
                0,
                otherPlain.totalMemory,
                otherPlain.price,
                1,
                otherPlain.delay);
        otherPlain.free = otherPlain.total;
        otherPlain.freeMemory = otherPlain.totalMemory;
        if (random.nextInt(5) == 0) {
          otherPlain.up = NOW + (1 + random.nextInt(40)) * 1_000_000L;
          otherCandidate.comesUp(otherPlain.up);
          otherPlain.ends.add(
              new double[] {otherPlain.up, otherPlain.total, otherPlain.totalMemory});
          otherPlain.free = 0;
          otherPlain.freeMemory = 0;
        }
        while (otherPlain.free > 0 && random.nextInt(4) > 0) {
          double cores = Math.min(otherPlain.free, 1 + random.nextInt(4));
          double memory = Math.min(otherPlain.freeMemory, cores * (1 + random.nextInt(4)));
          long end = NOW + random.nextInt(90) * 1_000_000L;
          ResourceRequest on =
              request(cores, memory, 0, Long.MAX_VALUE, Long.MAX_VALUE, null, true);
          otherCandidate.occupy(cores, 0, memory, end);
          otherPlain.free -= cores;
          otherPlain.freeMemory -= memory;
          otherPlain.busy = true;
          otherPlain.ends.add(new double[] {end, cores, memory});
        }
        plain.add(otherPlain);
        candidates.add(otherCandidate);
      }
      Zones zones = new Zones(random.nextInt(4) == 0, 1 + random.nextInt(5));
      if (random.nextBoolean()) {
        zones.add("a");
      }
      long deadline =
          random.nextBoolean() ? NOW + random.nextInt(120) * 1_000_000L : Long.MAX_VALUE;
      ResourceRequest otherAsk =
          request(
              1 + random.nextInt(4),
              1 + random.nextInt(8),
              (5 + random.nextInt(60)) * 1_000_000L + random.nextInt(2),
              deadline,
              deadline == Long.MAX_VALUE ? NOW + random.nextInt(60) * 1_000_000L : Long.MAX_VALUE,
              random.nextInt(4) == 0 ? "b" : null,
              random.nextInt(3) > 0);
      boolean[] feasible = new boolean[1];
      int want = model(otherAsk, plain, zones, feasible);
      Placer.Choice got =
          new Placer(PADDING, TIE, HEDGE, RISK)
              .search(
                  otherAsk,
                  candidates,
                  zones,
                  (candidate, image, gb) -> plain.get(candidate).fetch,
                  NOW)
              .next();
      assertEquals(want, got.candidate(), "round " + round);
      if (want >= 0) {
        assertEquals(feasible[0], got.feasible(), "round " + round);
        assertEquals(plain.get(want).earliest(otherAsk), got.startMicros(), "round " + round);
      }
      placedNow += want >= 0 && got.startMicros() <= NOW ? 1 : 0;
      later += want >= 0 && got.startMicros() > NOW ? 1 : 0;
      infeasible += want >= 0 && !feasible[0] ? 1 : 0;
    }
    assertTrue(placedNow > 300 && later > 300 && infeasible > 300, "the fleets cover all cases");
  }

  /** A search goes on from task to task; each time it must choose as one begun anew would. */
  @Test
  void aSearchThatGoesOnChoosesAsAFreshOne() {
    SplittableRandom random = new SplittableRandom(11);
    Placer placer = new Placer(PADDING, TIE, HEDGE, RISK);
    int[] kinds = new int[3];
    for (int round = 0; round < 400; round++) {
      List<PlacementCandidate> candidates = new ArrayList<>();
      for (int i = 0; i < 1 + random.nextInt(12); i++) {
        double total = random.nextBoolean() ? 4 : 16;
        PlacementCandidate candidate =
            new PlacementCandidate(
                "m" + i,
                "f",
                random.nextBoolean() ? "a" : "b",
                random.nextBoolean(),
                total,
                0,
                total * 4,
                total * (1 + random.nextInt(3) * 0.015),
                1,
                0);
        for (double free = total; free > 0 && random.nextInt(3) > 0; free--) {
          candidate.occupy(1, 0, 4, NOW + 1 + random.nextInt(60) * 1_000_000L);
        }
        candidates.add(candidate);
      }
      Zones zones =
          new Zones(random.nextInt(5) == 0, random.nextInt(3) == 0 ? 5 : Integer.MAX_VALUE);
      ResourceRequest otherAsk =
          request(
              1 + random.nextInt(2),
              1 + random.nextInt(6),
              (5 + random.nextInt(40)) * 1_000_000L + random.nextInt(2),
              random.nextBoolean() ? NOW + random.nextInt(120) * 1_000_000L : Long.MAX_VALUE,
              random.nextBoolean() ? NOW + random.nextInt(60) * 1_000_000L : Long.MAX_VALUE,
              null,
              random.nextInt(3) > 0);
      Placer.ImageFetchTimes fetch = (n, i, g) -> n % 3 * 4_000_000L;
      Placer.Search going = placer.search(otherAsk, candidates, zones, fetch, NOW);
      for (int task = 0; task < 25; task++) {
        Placer.Choice fresh = placer.search(otherAsk, candidates, zones, fetch, NOW).next();
        Placer.Choice next = going.next();
        assertEquals(fresh, next, "round " + round + " task " + task);
        if (next.candidate() < 0) {
          break;
        }
        kinds[next.startMicros() <= NOW ? 0 : next.feasible() ? 1 : 2]++;
        going.commit(next);
      }
    }
    assertTrue(
        kinds[0] > 1_000 && kinds[1] > 200 && kinds[2] > 1_000,
        "all kinds of choice: " + kinds[0] + " " + kinds[1] + " " + kinds[2]);
  }

  private static ResourceRequest request(
      double cores,
      double memory,
      long run,
      long deadline,
      long startBy,
      String zone,
      boolean spot) {
    return new ResourceRequest(
        cores, 0, memory, "img", 1, run, deadline, startBy, null, zone, spot, run % 2 == 0);
  }

  @Test
  void bookedRoomIsNotGivenAwayTwice() {
    PlacementCandidate candidate = new PlacementCandidate("m", "f", "a", false, 4, 0, 16, 1, 1, 0);
    candidate.occupy(4, 0, 4, NOW + 10_000_000);
    ResourceRequest four = request(4, 4, 20_000_000, Long.MAX_VALUE, Long.MAX_VALUE, null, true);
    Placer.Search search =
        new Placer(0, TIE, 0, 0)
            .search(four, List.of(candidate), new Zones(false, 9), (n, i, g) -> 0, NOW);
    Placer.Choice first = search.next();
    assertEquals(NOW + 10_000_000, first.startMicros());
    search.commit(first);
    assertEquals(
        NOW + 30_000_000, search.next().startMicros(), "the second waits for the first to end");
  }

  @Test
  void zonesKeepOneZoneAndSpread() {
    Zones one = new Zones(true, 9);
    assertTrue(one.allows("b"));
    one.add("a");
    assertFalse(one.allows("b"));
    one.add("b");
    assertFalse(one.allows("a"), "two zones by whatever mishap: no more until one is empty");
    Zones spread = new Zones(false, 1);
    spread.add("a");
    assertFalse(spread.allows("a"));
    assertTrue(spread.allows("b"));
  }
}
