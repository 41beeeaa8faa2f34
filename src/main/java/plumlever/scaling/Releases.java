package plumlever.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import plumlever.fleet.Job;

/**
 * Room for jobs that will be released before a machine rented now would be up: stages of a chain are shorter than a machine
 * takes to boot. What the jobs before them leave free by then is theirs. Nothing is foreseen further than that, for a job
 * before it may be cancelled, and then it never comes. Pure.
 */
public final class Releases {
    /** What is missing, like which job. */
    public record Need(double cores, Job like) {}

    private Releases() {}

    /**
     * @param waiting the jobs that wait for others, those accepted first in front
     * @param before the jobs that one still waits on; null when some are not known
     * @param endsAt when a job that is released should be complete
     * @param costMicros what a job takes from its release on
     * @param nowMicros from when on a machine would be rented
     * @param rentMicros what that takes: releases within this time are foreseen, of jobs that could not be done by their deadline
     *     if machines were rented only when they are released
     */
    public static Need soon(Collection<Job> waiting, Function<Job, List<Job>> before, ToLongFunction<Job> endsAt,
            ToLongFunction<Job> costMicros, long nowMicros, long rentMicros) {
        Map<Job, Long> ends = new HashMap<>();
        Set<Job> leaving = new HashSet<>();
        double need = 0;
        Job like = null;
        for (Job j : waiting) {
            List<Job> all = before.apply(j);
            long release = all == null ? Long.MAX_VALUE : 0;
            for (Job b : all == null ? List.<Job>of() : all) {
                long end = ends.computeIfAbsent(b, k -> k.waiting() ? Long.MAX_VALUE : endsAt.applyAsLong(k));
                release = Math.max(release, end);
            }
            if (release == Long.MAX_VALUE) {
                ends.put(j, release);
                continue;
            }
            long end = release + costMicros.applyAsLong(j);
            ends.put(j, end);
            if (release <= nowMicros + rentMicros && end + rentMicros > j.deadlineMicros()) {
                need += j.spec().pieces() * j.spec().cores();
                leaving.addAll(all);
                like = like == null || j.spec().pieces() > like.spec().pieces() ? j : like;
            }
        }
        double left = 0;
        for (Job b : leaving) {
            left += b.waiting() ? b.spec().pieces() * b.spec().cores() : b.liveCount() * b.spec().cores();
        }
        return new Need(Math.max(0, need - left), like);
    }
}
