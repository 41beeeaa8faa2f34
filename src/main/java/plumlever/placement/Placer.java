package plumlever.placement;

import java.util.List;

/**
 * The design's ordinary path. Machines that meet the deadline come before any score; of these the least of price per
 * second, times the task's largest machine share, times run time; scores within the tie band go to machines already
 * running work, then to the most free memory, then to the most free processors.
 */
public final class Placer {
    /** Where one task goes: {@code seat} is -1 if nowhere now. */
    public record Choice(int seat, long startMicros, boolean feasible) {
        static final Choice NONE = new Choice(-1, Long.MAX_VALUE, false);
    }

    /** How long a machine would fetch an image that a task needs; 0 if it has it. */
    public interface Fetch {
        long micros(String machine, String image, double gb);
    }

    private final double padding;
    private final double tie;
    private final long hedgeMicros;

    /** @param hedgeMicros the time that must be left when a task waits, so that a machine could still be rented for it */
    public Placer(double padding, double tie, long hedgeMicros) {
        this.padding = padding;
        this.tie = tie;
        this.hedgeMicros = hedgeMicros;
    }

    /** Evaluates tasks of one job, which are all alike, against all seats; the dear part is done once. */
    public final class Search {
        private final Ask ask;
        private final List<Seat> seats;
        private final Zones zones;
        private final long nowMicros;
        private final int[] candidates;
        /** Until it could run once there is room: the order's way and the image. */
        private final long[] fetch;
        private final long[] run;
        private final double[] score;

        private Search(Ask ask, List<Seat> seats, Zones zones, Fetch fetchTimes, long nowMicros) {
            this.ask = ask;
            this.seats = seats;
            this.zones = zones;
            this.nowMicros = nowMicros;
            int[] c = new int[seats.size()];
            int n = 0;
            fetch = new long[seats.size()];
            run = new long[seats.size()];
            score = new double[seats.size()];
            for (int i = 0; i < seats.size(); i++) {
                Seat s = seats.get(i);
                double share = ask.share(s);
                if (!ask.allows(s) || share > 1 + 1e-9) {
                    continue;
                }
                c[n++] = i;
                fetch[i] = s.delayMicros + fetchTimes.micros(s.machine, ask.image(), ask.imageGb());
                run[i] = (long) (ask.runMicros() * s.slowness);
                score[i] = s.pricePerS * share * (fetch[i] + run[i]);
            }
            candidates = java.util.Arrays.copyOf(c, n);
        }

        /** Where the next task goes; nothing is changed. */
        public Choice next() {
            Choice c = best(padding, true, false);
            if (c.seat < 0) {
                c = best(padding, false, true);
            }
            if (c.seat >= 0) {
                return c;
            }
            // The design's second look, without padding; from here on a task that has to wait is in danger.
            c = best(0, true, false);
            if (c.seat < 0) {
                c = best(0, false, true);
            }
            return c.seat < 0 ? earliest() : new Choice(c.seat, c.startMicros, false);
        }

        /** The task goes there: now, or booked for later. */
        public void commit(Choice c) {
            Seat s = seats.get(c.seat);
            long end = c.startMicros + fetch[c.seat] + (long) (run[c.seat] * (1 + padding));
            if (c.startMicros <= nowMicros) {
                s.take(ask);
                s.release(ask, end);
            } else {
                s.book(ask, c.startMicros, end);
            }
            zones.add(s.zone);
        }

        private boolean suits(long start, boolean now, boolean later) {
            return start <= nowMicros ? now : later && start != Long.MAX_VALUE;
        }

        private boolean feasible(int i, long start, double pad) {
            long runs = start + fetch[i];
            if (pad > 0 && start > nowMicros) {
                runs += hedgeMicros;
            }
            return runs <= ask.startByMicros()
                    && (ask.deadlineMicros() == Long.MAX_VALUE || runs + (long) (run[i] * (1 + pad)) <= ask.deadlineMicros());
        }

        private Choice best(double pad, boolean now, boolean later) {
            int best = -1;
            long bestStart = 0;
            double least = Double.MAX_VALUE;
            for (int i : candidates) {
                Seat s = seats.get(i);
                if (score[i] < least && zones.allows(s.zone)) {
                    long start = s.earliest(ask, nowMicros);
                    if (suits(start, now, later) && feasible(i, start, pad)) {
                        least = score[i];
                    }
                }
            }
            if (least == Double.MAX_VALUE) {
                return Choice.NONE;
            }
            for (int i : candidates) {
                Seat s = seats.get(i);
                if (score[i] > least * (1 + tie) || !zones.allows(s.zone)) {
                    continue;
                }
                long start = s.earliest(ask, nowMicros);
                if (!suits(start, now, later) || !feasible(i, start, pad)) {
                    continue;
                }
                if (best < 0 || winsTie(s, seats.get(best))) {
                    best = i;
                    bestStart = start;
                }
            }
            return new Choice(best, bestStart, true);
        }

        private Choice earliest() {
            int best = -1;
            long bestStart = Long.MAX_VALUE;
            for (int i : candidates) {
                Seat s = seats.get(i);
                if (!zones.allows(s.zone)) {
                    continue;
                }
                long start = s.earliest(ask, nowMicros);
                if (start != Long.MAX_VALUE && (best < 0 || start + fetch[i] < bestStart + fetch[best])) {
                    best = i;
                    bestStart = start;
                }
            }
            return best < 0 ? Choice.NONE : new Choice(best, bestStart, false);
        }
    }

    public Search search(Ask ask, List<Seat> seats, Zones zones, Fetch fetchTimes, long nowMicros) {
        return new Search(ask, seats, zones, fetchTimes, nowMicros);
    }

    private static boolean winsTie(Seat a, Seat b) {
        if (a.busy != b.busy) {
            return a.busy;
        }
        if (a.memoryGb != b.memoryGb) {
            return a.memoryGb > b.memoryGb;
        }
        return a.cores > b.cores;
    }

}
