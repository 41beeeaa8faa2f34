package plumlever.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import plumlever.fleet.Job;
import plumlever.wire.JobSpec;
import plumlever.wire.Urgency;

final class ReleasesTest {
    private static final long S = 1_000_000;

    private static Job job(int n, int pieces, boolean waiting) {
        return job(n, pieces, waiting, 30);
    }

    private static Job job(int n, int pieces, boolean waiting, double dueS) {
        Job j = new Job(new JobSpec("job-" + n, "c", "t", Urgency.IDLE, pieces, 2, 0, 1, "i", 1, null, null, false, false, true, 10, 0, 0,
                dueS), n, 0, false);
        if (waiting) {
            j.hold();
        }
        return j;
    }

    private static Releases.Need soon(List<Job> waiting, Map<Job, List<Job>> before, Map<Job, Long> ends, long rent) {
        return Releases.soon(waiting, before::get, ends::get, j -> 10 * S, 0, rent);
    }

    @Test
    void whatIsReleasedInTimeNeedsRoom() {
        Job first = job(1, 3, false);
        Job next = job(2, 20, true);
        Job last = job(3, 50, true);
        Map<Job, List<Job>> before = Map.of(next, List.of(first), last, List.of(next));
        Map<Job, Long> ends = Map.of(first, 20 * S);
        assertEquals(0, soon(List.of(next, last), before, ends, 19 * S).cores(), "too far off");
        assertEquals(40, soon(List.of(next, last), before, ends, 20 * S).cores());
        // Two steps ahead; the room of the stage between them is given on.
        Releases.Need both = soon(List.of(next, last), before, ends, 30 * S);
        assertEquals(140 - 40, both.cores());
        assertSame(last, both.like());
    }

    /** What can wait until it is released is not rented for: it may never come. */
    @Test
    void nothingIsForeseenOfWhatHasTime() {
        Job first = job(1, 3, false);
        for (double due : new double[] {JobSpec.NO_DEADLINE, 66}) {
            Job next = job(2, 20, true, due);
            assertEquals(0, soon(List.of(next), Map.of(next, List.of(first)), Map.of(first, 20 * S), 35 * S).cores());
        }
        Job next = job(2, 20, true, 64);
        assertEquals(40, soon(List.of(next), Map.of(next, List.of(first)), Map.of(first, 20 * S), 35 * S).cores());
    }

    @Test
    void nothingIsForeseenOfWhatIsNotKnown() {
        Job first = job(1, 3, false);
        Job next = job(2, 20, true);
        Map<Job, List<Job>> unknown = new java.util.HashMap<>();
        unknown.put(next, null);
        assertEquals(0, soon(List.of(next), unknown, Map.of(first, S), 100 * S).cores());
        Job far = job(3, 4, true);
        assertEquals(0, soon(List.of(far), Map.of(far, List.of(first)), Map.of(first, Long.MAX_VALUE), 100 * S).cores(), "no end in sight");
    }
}
