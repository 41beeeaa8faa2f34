package plumlever.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import plumlever.settings.Platform;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

/** Hundreds of machines and thousands of tasks, through a crash, a wave and an outage; bounded by counts that repeat. */
final class LargeDeploymentTest {
    private static final int JOBS = 90;
    private static final int TASKS = 50;

    @Test
    void aThousandMachinesStayWithinEveryLimit() {
        World w = new World(77, 3, List.of(new Platform.Team("red", 2000, 9000, 0, 0), new Platform.Team("blue", 2000, 0, 0, 0)),
                false);
        w.cloud.most = 1_000;
        FakeUsers users = new FakeUsers(w);
        List<JobSpec> all = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int n = i;
            w.at(n * 900_000L, () -> {
                JobSpec j = new JobSpec(users.nextUid(), n % 3 == 0 ? "slow" : "quick", n % 2 == 0 ? "red" : "blue",
                        n % 3 == 0 ? Urgency.IDLE : Urgency.STANDARD, TASKS, 2, 0, 4, "img-" + n % 12, 1, null, null, false, false, true,
                        40 + n % 5 * 10, n % 3 == 0 ? 15 : 0, n % 3 == 0 ? 2 : 0, n % 3 == 0 ? JobSpec.NO_DEADLINE : 150);
                all.add(j);
                users.submit(j, false);
            });
        }
        w.play(75);
        int machines = w.cloud.machines.size();
        assertTrue(machines > 450, "a large fleet is rented: " + machines);
        assertTrue(w.store.count("fleet/") <= 14, "machines share records: " + w.store.count("fleet/"));
        w.leader().crash(5);
        w.play(12);
        assertTrue(w.leader().node().leader().tookOver(), "a large fleet is taken over in seconds");
        w.cloud.machines.values().stream().filter(v -> v.spot && v.worker != null).map(v -> v.id).toList().stream()
                .filter(h -> w.random.nextBoolean()).forEach(w.cloud::delete);
        w.play(10);
        w.store.outage = true;
        w.play(12);
        w.store.endOutage();
        w.calmSince = w.now();
        w.play(360);
        w.rules.checkServed();
        assertEquals(List.of(), w.rules.broken);
        assertEquals(JOBS, all.size());
        all.forEach(j -> assertEquals("done", w.rules.lastTold.get(j.uid()), j.uid()));
        assertTrue(w.rules.starts >= JOBS * TASKS, "thousands of tasks: " + w.rules.starts);
        // Limits of the simulated state service: 200 requests and 60 changes a second, with a second's burst.
        assertTrue(w.store.mostRequests <= 250, "requests in the busiest second: " + w.store.mostRequests);
        assertTrue(w.store.mostChanges <= 60, "changes in the busiest second: " + w.store.mostChanges);
        long seats = w.members.values().stream().mapToLong(m -> m.node().metrics().counted("seats_evaluated")).sum();
        assertTrue(seats > 0 && seats < 3_000_000, "seats evaluated: " + seats);
    }
}
