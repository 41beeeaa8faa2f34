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

    long earliest(Ask a) {
      double c = free;
      double m = freeMemory;
      if (c + EPSILON >= a.cores() && m + EPSILON >= a.memoryGb()) {
        return NOW;
      }
      List<double[]> sorted = new ArrayList<>(ends);
      sorted.sort((x, y) -> Double.compare(x[0], y[0]));
      for (double[] e : sorted) {
        c += e[1];
        m += e[2];
        if (c + EPSILON >= a.cores() && m + EPSILON >= a.memoryGb()) {
          return Math.max(NOW + 1, (long) e[0]);
        }
      }
      return Long.MAX_VALUE;
    }

    double score(Ask a) {
      return price
          * (spot && !a.saves() ? 1 + RISK : 1)
          * Math.max(a.cores() / total, a.memoryGb() / totalMemory)
          * (delay + fetch + a.runMicros());
    }
  }

  /**
   * Straight from the design: feasible before score, least score, ties to busy, free memory, free
   * processors.
   */
  private static int model(Ask a, List<Plain> all, Zones zones, boolean[] feasible) {
    for (double pad : new double[] {PADDING, 0}) {
      for (boolean now : new boolean[] {true, false}) {
        List<Integer> able = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
          Plain p = all.get(i);
          long start = allowed(a, p, zones) ? p.earliest(a) : Long.MAX_VALUE;
          if (start == Long.MAX_VALUE || (start <= NOW) != now) {
            continue;
          }
          long runs = start + p.delay + p.fetch + (pad > 0 && !now && start > p.up ? HEDGE : 0);
          if (runs <= a.startByMicros()
              && (a.deadlineMicros() == Long.MAX_VALUE
                  || runs + (long) (a.runMicros() * (1 + pad)) <= a.deadlineMicros())) {
            able.add(i);
          }
        }
        if (!able.isEmpty()) {
          feasible[0] = pad > 0;
          double least = able.stream().mapToDouble(i -> all.get(i).score(a)).min().orElseThrow();
          able.removeIf(i -> all.get(i).score(a) > least * (1 + TIE));
          int best = able.get(0);
          for (int i : able) {
            Plain x = all.get(i);
            Plain y = all.get(best);
            if (x.busy != y.busy
                ? x.busy
                : x.freeMemory != y.freeMemory ? x.freeMemory > y.freeMemory : x.free > y.free) {
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
      Plain p = all.get(i);
      long start = allowed(a, p, zones) ? p.earliest(a) : Long.MAX_VALUE;
      if (start != Long.MAX_VALUE && start + p.delay + p.fetch < soonest) {
        soonest = start + p.delay + p.fetch;
        best = i;
      }
    }
    return best;
  }

  private static boolean allowed(Ask a, Plain p, Zones zones) {
    return (a.site() == null || a.site().equals(p.zone))
        && (a.spot() || !p.spot)
        && zones.allows(p.zone)
        && a.cores() <= p.total
        && a.memoryGb() <= p.totalMemory;
  }

  @Test
  void agreesWithThePlainModelOnRandomFleets() {
    SplittableRandom r = new SplittableRandom(7);
    int placedNow = 0;
    int later = 0;
    int infeasible = 0;
    for (int round = 0; round < 3_000; round++) {
      List<Plain> plain = new ArrayList<>();
      List<Seat> seats = new ArrayList<>();
      for (int i = 0; i < 1 + r.nextInt(8); i++) {
        Plain p = new Plain();
        p.zone = r.nextBoolean() ? "a" : "b";
        p.spot = r.nextBoolean();
        p.total = r.nextBoolean() ? 4 : 16;
        p.totalMemory = p.total * 4;
        p.price = (p.spot ? 1 : 3) * (p.total == 4 ? 1.0 : 4.1);
        p.delay = r.nextInt(3) * 1_000_000L;
        p.fetch = r.nextInt(3) * 5_000_000L;
        Seat s =
            new Seat("m" + i, "f", p.zone, p.spot, p.total, 0, p.totalMemory, p.price, 1, p.delay);
        p.free = p.total;
        p.freeMemory = p.totalMemory;
        if (r.nextInt(5) == 0) {
          p.up = NOW + (1 + r.nextInt(40)) * 1_000_000L;
          s.comesUp(p.up);
          p.ends.add(new double[] {p.up, p.total, p.totalMemory});
          p.free = 0;
          p.freeMemory = 0;
        }
        while (p.free > 0 && r.nextInt(4) > 0) {
          double c = Math.min(p.free, 1 + r.nextInt(4));
          double m = Math.min(p.freeMemory, c * (1 + r.nextInt(4)));
          long end = NOW + r.nextInt(90) * 1_000_000L;
          Ask on = ask(c, m, 0, Long.MAX_VALUE, Long.MAX_VALUE, null, true);
          s.occupy(c, 0, m, end);
          p.free -= c;
          p.freeMemory -= m;
          p.busy = true;
          p.ends.add(new double[] {end, c, m});
        }
        plain.add(p);
        seats.add(s);
      }
      Zones zones = new Zones(r.nextInt(4) == 0, 1 + r.nextInt(5));
      if (r.nextBoolean()) {
        zones.add("a");
      }
      long deadline = r.nextBoolean() ? NOW + r.nextInt(120) * 1_000_000L : Long.MAX_VALUE;
      Ask a =
          ask(
              1 + r.nextInt(4),
              1 + r.nextInt(8),
              (5 + r.nextInt(60)) * 1_000_000L + r.nextInt(2),
              deadline,
              deadline == Long.MAX_VALUE ? NOW + r.nextInt(60) * 1_000_000L : Long.MAX_VALUE,
              r.nextInt(4) == 0 ? "b" : null,
              r.nextInt(3) > 0);
      boolean[] feasible = new boolean[1];
      int want = model(a, plain, zones, feasible);
      Placer.Choice got =
          new Placer(PADDING, TIE, HEDGE, RISK)
              .search(
                  a,
                  seats,
                  zones,
                  (seat, machine, image, gb) ->
                      plain.get(Integer.parseInt(machine.substring(1))).fetch,
                  NOW)
              .next();
      assertEquals(want, got.seat(), "round " + round);
      if (want >= 0) {
        assertEquals(feasible[0], got.feasible(), "round " + round);
        assertEquals(plain.get(want).earliest(a), got.startMicros(), "round " + round);
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
    SplittableRandom r = new SplittableRandom(11);
    Placer placer = new Placer(PADDING, TIE, HEDGE, RISK);
    int[] kinds = new int[3];
    for (int round = 0; round < 400; round++) {
      List<Seat> seats = new ArrayList<>();
      for (int i = 0; i < 1 + r.nextInt(12); i++) {
        double total = r.nextBoolean() ? 4 : 16;
        Seat s =
            new Seat(
                "m" + i,
                "f",
                r.nextBoolean() ? "a" : "b",
                r.nextBoolean(),
                total,
                0,
                total * 4,
                total * (1 + r.nextInt(3) * 0.015),
                1,
                0);
        for (double free = total; free > 0 && r.nextInt(3) > 0; free--) {
          s.occupy(1, 0, 4, NOW + 1 + r.nextInt(60) * 1_000_000L);
        }
        seats.add(s);
      }
      Zones zones = new Zones(r.nextInt(5) == 0, r.nextInt(3) == 0 ? 5 : Integer.MAX_VALUE);
      Ask a =
          ask(
              1 + r.nextInt(2),
              1 + r.nextInt(6),
              (5 + r.nextInt(40)) * 1_000_000L + r.nextInt(2),
              r.nextBoolean() ? NOW + r.nextInt(120) * 1_000_000L : Long.MAX_VALUE,
              r.nextBoolean() ? NOW + r.nextInt(60) * 1_000_000L : Long.MAX_VALUE,
              null,
              r.nextInt(3) > 0);
      Placer.Fetch fetch = (n, m, i, g) -> n % 3 * 4_000_000L;
      Placer.Search going = placer.search(a, seats, zones, fetch, NOW);
      for (int task = 0; task < 25; task++) {
        Placer.Choice fresh = placer.search(a, seats, zones, fetch, NOW).next();
        Placer.Choice next = going.next();
        assertEquals(fresh, next, "round " + round + " task " + task);
        if (next.seat() < 0) {
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

  private static Ask ask(
      double cores,
      double memory,
      long run,
      long deadline,
      long startBy,
      String site,
      boolean spot) {
    return new Ask(
        cores, 0, memory, "img", 1, run, deadline, startBy, null, site, spot, run % 2 == 0);
  }

  @Test
  void bookedRoomIsNotGivenAwayTwice() {
    Seat s = new Seat("m", "f", "a", false, 4, 0, 16, 1, 1, 0);
    s.occupy(4, 0, 4, NOW + 10_000_000);
    Ask four = ask(4, 4, 20_000_000, Long.MAX_VALUE, Long.MAX_VALUE, null, true);
    Placer.Search search =
        new Placer(0, TIE, 0, 0)
            .search(four, List.of(s), new Zones(false, 9), (n, m, i, g) -> 0, NOW);
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
