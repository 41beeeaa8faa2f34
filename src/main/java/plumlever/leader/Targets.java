package plumlever.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import plumlever.fleet.Job;
import plumlever.settings.Platform;

/** By when a job's tasks should run and be complete: its own deadline, what the aims say of its class, or the default. */
final class Targets {
    private final Map<String, Long> startWithin = new HashMap<>();
    private final Map<String, Long> finishWithin = new HashMap<>();
    private final long startTargetMicros;

    Targets(List<Platform.Objective> objectives, long startTargetMicros) {
        this.startTargetMicros = startTargetMicros;
        for (Platform.Objective o : objectives) {
            if (o.jobclass() == null) {
                continue;
            }
            long within = (long) (o.withinS() * 1e6);
            switch (o.kind()) {
                case "wait" -> startWithin.merge(o.jobclass(), within, Math::min);
                case "finished" -> finishWithin.merge(o.jobclass(), within, Math::min);
                default -> { }
            }
        }
    }

    /** Long.MAX_VALUE for a job that has only a deadline. */
    long startBy(Job j) {
        Long within = startWithin.get(j.spec().jobclass());
        if (within != null) {
            return j.acceptedMicros() + within;
        }
        return j.spec().hasDeadline() ? Long.MAX_VALUE : j.acceptedMicros() + startTargetMicros;
    }

    long finishBy(Job j) {
        Long within = finishWithin.get(j.spec().jobclass());
        return within == null ? j.deadlineMicros() : Math.min(j.deadlineMicros(), j.acceptedMicros() + within);
    }
}
