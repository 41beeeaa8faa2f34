package plumlever.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the placer with a slow reference model of the placement rules on random fleets. */
final class PlacerTest {
  private static final long NOW_MICROS = 1_000_000_000L;
  private static final long SECOND_MICROS = 1_000_000L;

  /** The candidates of the random fleets have other ids. */
  private static final Set<String> EXCLUDED_MACHINES = Set.of("excluded");

  private static final PlacementParameters PARAMETERS =
      new PlacementParameters(0.05, 0.02, 10_000_000L, 0.3);

  /** Identical random machines for the placer and the reference model. */
  private static final class RandomFleet {
    final List<ReferencePlacementModel.Machine> machines = new ArrayList<>();
    final List<PlacementCandidate> candidates = new ArrayList<>();

    RandomFleet(SplittableRandom random) {
      for (int i = 0; i < 1 + random.nextInt(8); i++) {
        ReferencePlacementModel.Machine machine = randomMachine(random);
        PlacementCandidate candidate = candidate(i, machine);
        if (random.nextInt(5) == 0) {
          long upMicros = NOW_MICROS + (1 + random.nextInt(40)) * SECOND_MICROS;
          machine.markComingUp(upMicros);
          candidate.markComingUp(upMicros);
        }
        while (machine.freeCores > 0 && random.nextInt(4) > 0) {
          double cores = Math.min(machine.freeCores, 1 + random.nextInt(4));
          double memoryGb = Math.min(machine.freeMemoryGb, cores * (1 + random.nextInt(4)));
          long endMicros = NOW_MICROS + random.nextInt(90) * SECOND_MICROS;
          machine.occupy(cores, memoryGb, endMicros);
          candidate.occupy(cores, 0, memoryGb, endMicros);
        }
        machines.add(machine);
        candidates.add(candidate);
      }
    }

    private static ReferencePlacementModel.Machine randomMachine(SplittableRandom random) {
      ReferencePlacementModel.Machine machine = new ReferencePlacementModel.Machine();
      machine.zone = random.nextBoolean() ? "a" : "b";
      machine.spot = random.nextBoolean();
      machine.totalCores = random.nextBoolean() ? 4 : 16;
      machine.totalMemoryGb = machine.totalCores * 4;
      machine.price = (machine.spot ? 1 : 3) * (machine.totalCores == 4 ? 1.0 : 4.1);
      machine.commandDelayMicros = random.nextInt(3) * SECOND_MICROS;
      machine.fetchMicros = random.nextInt(3) * 5 * SECOND_MICROS;
      machine.freeCores = machine.totalCores;
      machine.freeMemoryGb = machine.totalMemoryGb;
      return machine;
    }

    private static PlacementCandidate candidate(
        int index, ReferencePlacementModel.Machine machine) {
      MachineShape shape =
          new MachineShape(
              "f", machine.spot, machine.totalCores, 0, machine.totalMemoryGb, machine.price);
      return new PlacementCandidate(
          "m" + index, machine.zone, shape, 1, machine.commandDelayMicros);
    }

    long fetchMicros(int candidate, String image, double imageGb) {
      return machines.get(candidate).fetchMicros;
    }
  }

  @Test
  void matchesReferenceModelOnRandomFleets() {
    SplittableRandom random = new SplittableRandom(7);
    int placedNow = 0;
    int placedLater = 0;
    int infeasible = 0;
    for (int round = 0; round < 3_000; round++) {
      RandomFleet fleet = new RandomFleet(random);
      Zones zones = new Zones(random.nextInt(4) == 0, 1 + random.nextInt(5));
      if (random.nextBoolean()) {
        zones.add("a");
      }
      ResourceRequest request = requestWithDeadlineOrStartBy(random);

      ReferencePlacementModel.Choice expected =
          new ReferencePlacementModel(PARAMETERS, fleet.machines, zones, NOW_MICROS)
              .choose(request);
      Placer.Choice actual =
          new Placer(PARAMETERS)
              .search(request, fleet.candidates, zones, fleet::fetchMicros, NOW_MICROS)
              .next();

      assertEquals(expected.machine(), actual.candidate(), "round " + round);
      if (actual.exists()) {
        assertEquals(expected.feasible(), actual.feasible(), "round " + round);
        assertEquals(
            fleet.machines.get(expected.machine()).earliestStartMicros(request, NOW_MICROS),
            actual.startMicros(),
            "round " + round);
        placedNow += actual.startMicros() <= NOW_MICROS ? 1 : 0;
        placedLater += actual.startMicros() > NOW_MICROS ? 1 : 0;
        infeasible += actual.feasible() ? 0 : 1;
      }
    }
    assertTrue(
        placedNow > 300 && placedLater > 300 && infeasible > 300,
        "the random fleets produce too few choices of some kind");
  }

  private static ResourceRequest requestWithDeadlineOrStartBy(SplittableRandom random) {
    long deadlineMicros =
        random.nextBoolean()
            ? NOW_MICROS + random.nextInt(120) * SECOND_MICROS
            : ResourceRequest.ANY_TIME;
    return request(
        resources(1 + random.nextInt(4), 1 + random.nextInt(8)),
        (5 + random.nextInt(60)) * SECOND_MICROS + random.nextInt(2),
        deadlineMicros,
        deadlineMicros == ResourceRequest.ANY_TIME
            ? NOW_MICROS + random.nextInt(60) * SECOND_MICROS
            : ResourceRequest.ANY_TIME,
        random.nextInt(4) == 0 ? "b" : null,
        random.nextInt(3) > 0);
  }

  /**
   * A search that continues after each committed placement must return the same choice as a new
   * search.
   */
  @Test
  void continuedSearchMatchesNewSearch() {
    SplittableRandom random = new SplittableRandom(11);
    Placer placer = new Placer(PARAMETERS);
    int placedNow = 0;
    int placedLater = 0;
    int infeasibleLater = 0;
    for (int round = 0; round < 400; round++) {
      List<PlacementCandidate> candidates = candidatesOfNearlyEqualPrice(random);
      Zones zones =
          new Zones(random.nextInt(5) == 0, random.nextInt(3) == 0 ? 5 : Integer.MAX_VALUE);
      ResourceRequest request = requestWithAnyTimes(random);
      Placer.ImageFetchTimes fetchTimes = (candidate, image, gb) -> candidate % 3 * 4_000_000L;
      Placer.Search continued = placer.search(request, candidates, zones, fetchTimes, NOW_MICROS);
      for (int task = 0; task < 25; task++) {
        Placer.Choice fresh =
            placer.search(request, candidates, zones, fetchTimes, NOW_MICROS).next();
        Placer.Choice next = continued.next();
        assertEquals(fresh, next, "round " + round + " task " + task);
        if (!next.exists()) {
          break;
        }
        boolean now = next.startMicros() <= NOW_MICROS;
        placedNow += now ? 1 : 0;
        placedLater += !now && next.feasible() ? 1 : 0;
        infeasibleLater += !now && !next.feasible() ? 1 : 0;
        continued.commit(next);
      }
    }
    assertTrue(
        placedNow > 1_000 && placedLater > 200 && infeasibleLater > 1_000,
        "too few choices of some kind (now, later, infeasible): "
            + placedNow
            + " "
            + placedLater
            + " "
            + infeasibleLater);
  }

  /** Returns candidates whose prices are close enough to produce many ties. */
  private static List<PlacementCandidate> candidatesOfNearlyEqualPrice(SplittableRandom random) {
    List<PlacementCandidate> candidates = new ArrayList<>();
    for (int i = 0; i < 1 + random.nextInt(12); i++) {
      double cores = random.nextBoolean() ? 4 : 16;
      String zone = random.nextBoolean() ? "a" : "b";
      boolean spot = random.nextBoolean();
      double price = cores * (1 + random.nextInt(3) * 0.015);
      PlacementCandidate candidate =
          new PlacementCandidate(
              "m" + i, zone, new MachineShape("f", spot, cores, 0, cores * 4, price), 1, 0);
      for (double free = cores; free > 0 && random.nextInt(3) > 0; free--) {
        candidate.occupy(1, 0, 4, NOW_MICROS + 1 + random.nextInt(60) * SECOND_MICROS);
      }
      candidates.add(candidate);
    }
    return candidates;
  }

  private static ResourceRequest requestWithAnyTimes(SplittableRandom random) {
    return request(
        resources(1 + random.nextInt(2), 1 + random.nextInt(6)),
        (5 + random.nextInt(40)) * SECOND_MICROS + random.nextInt(2),
        random.nextBoolean()
            ? NOW_MICROS + random.nextInt(120) * SECOND_MICROS
            : ResourceRequest.ANY_TIME,
        random.nextBoolean()
            ? NOW_MICROS + random.nextInt(60) * SECOND_MICROS
            : ResourceRequest.ANY_TIME,
        null,
        random.nextInt(3) > 0);
  }

  private static ResourceRequest.Resources resources(double cores, double memoryGb) {
    return new ResourceRequest.Resources(cores, 0, memoryGb);
  }

  /** Creates a request. Tasks with an even run time write checkpoints. */
  private static ResourceRequest request(
      ResourceRequest.Resources resources,
      long runMicros,
      long deadlineMicros,
      long startByMicros,
      String zone,
      boolean spotAllowed) {
    return new ResourceRequest(
        resources,
        "img",
        1,
        new ResourceRequest.Timing(runMicros, deadlineMicros, startByMicros),
        new ResourceRequest.MachineConstraints(
            null, zone, spotAllowed, runMicros % 2 == 0, EXCLUDED_MACHINES));
  }

  /** Guards against a task that is tried again on a machine that its request excludes. */
  @Test
  void excludedMachinesGetNoTask() {
    PlacementCandidate excluded =
        new PlacementCandidate("excluded", "a", new MachineShape("f", false, 4, 0, 16, 1), 1, 0);
    ResourceRequest request =
        request(
            resources(1, 1),
            20 * SECOND_MICROS,
            ResourceRequest.ANY_TIME,
            ResourceRequest.ANY_TIME,
            null,
            true);
    assertFalse(
        Placer.hasFreeCapacityNow(request, List.of(excluded), Zones.unrestricted()),
        "an excluded machine has no free capacity for the task");
    assertFalse(firstChoice(request, excluded).exists());
    assertTrue(firstChoice(request.withoutExcludedMachines(), excluded).exists());
  }

  private static Placer.Choice firstChoice(ResourceRequest request, PlacementCandidate candidate) {
    return new Placer(PARAMETERS)
        .search(
            request,
            List.of(candidate),
            Zones.unrestricted(),
            (index, image, imageGb) -> 0,
            NOW_MICROS)
        .next();
  }

  @Test
  void bookedCapacityIsNotBookedAgain() {
    PlacementCandidate candidate =
        new PlacementCandidate("m", "a", new MachineShape("f", false, 4, 0, 16, 1), 1, 0);
    candidate.occupy(4, 0, 4, NOW_MICROS + 10 * SECOND_MICROS);
    ResourceRequest wholeMachine =
        request(
            resources(4, 4),
            20 * SECOND_MICROS,
            ResourceRequest.ANY_TIME,
            ResourceRequest.ANY_TIME,
            null,
            true);
    Placer.Search search =
        new Placer(new PlacementParameters(0, PARAMETERS.tieTolerance(), 0, 0))
            .search(
                wholeMachine,
                List.of(candidate),
                new Zones(false, 9),
                (index, image, gb) -> 0,
                NOW_MICROS);

    Placer.Choice first = search.next();
    search.commit(first);
    Placer.Choice second = search.next();

    assertEquals(NOW_MICROS + 10 * SECOND_MICROS, first.startMicros());
    assertEquals(
        NOW_MICROS + 30 * SECOND_MICROS,
        second.startMicros(),
        "the second task starts when the first one ends");
  }

  @Test
  void oneZoneJobMustStayInItsZone() {
    Zones oneZone = new Zones(true, 9);
    assertTrue(oneZone.allows("b"), "no task has been placed yet");
    oneZone.add("a");
    assertFalse(oneZone.allows("b"));
  }

  @Test
  void oneZoneJobInTwoZonesGetsNoMoreTasks() {
    Zones oneZone = new Zones(true, 9);
    oneZone.add("a");
    oneZone.add("b");
    assertFalse(
        oneZone.allows("a"), "tasks in two zones: no more tasks until one of the zones is empty");
  }

  @Test
  void spreadJobRespectsLimitPerZone() {
    Zones spread = new Zones(false, 1);
    spread.add("a");
    assertFalse(spread.allows("a"));
    assertTrue(spread.allows("b"));
  }
}
