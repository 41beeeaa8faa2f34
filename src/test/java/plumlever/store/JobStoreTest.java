package plumlever.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import plumlever.wire.InvalidMessage;
import plumlever.wire.Json;

final class JobStoreTest {
    /** A hundred thousand finished tasks do not fit one value: each chunk must, and together they lose none. */
    @Test
    void chunksHoldTheLargestJob() throws InvalidMessage {
        JobStore s = new JobStore(4096);
        BitSet done = new BitSet();
        SplittableRandom r = new SplittableRandom(3);
        for (int i = 0; i < 100_000; i++) {
            done.set(i, r.nextBoolean());
        }
        done.set(99_999);
        BitSet back = new BitSet();
        for (int c = 0; c < s.chunks(100_000); c++) {
            assertTrue(Json.write(s.chunk(done, c)).length() <= 4096);
            s.readChunk(s.chunk(done, c), c, back);
        }
        assertEquals(done, back);
        assertEquals(s.chunks(100_000) - 1, s.chunkOf(99_999));
    }

    @Test
    void aBucketKeepsTheRateAndLetsUrgentOnesBorrow() {
        TokenBucket b = new TokenBucket(10, 0);
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            taken += b.take(1, i * 10_000L) ? 1 : 0;
        }
        assertTrue(taken >= 18 && taken <= 20, "a burst of ten and ten in the second: " + taken);
        b.rate(20, 1_000_000);
        int more = 0;
        for (int i = 100; i < 200; i++) {
            more += b.take(1, i * 10_000L) ? 1 : 0;
        }
        assertTrue(more >= 19 && more <= 21, "twice as many in the next: " + more);
        b.force(5, 1_000_000);
        assertFalse(b.take(1, 1_100_000), "what was borrowed is paid back first");
    }
}
