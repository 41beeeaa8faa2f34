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
    private long guaranteedWithin = Long.MAX_VALUE;

    Targets(List<Platform.Objective> objectives, long startTargetMicros) {
        this.startTargetMicros = startTargetMicros;
        for (Platform.Objective o : objectives) {
            long within = (long) (o.withinS() * 1e6);
            if (o.jobclass() == null) {
                if (o.kind().equals("guarantee")) {
                    guaranteedWithin = within;
                }
                continue;
            }
            switch (o.kind()) {
                case "wait" -> startWithin.merge(o.jobclass(), within, Math::min);
                case "finished" -> finishWithin.merge(o.jobclass(), within, Math::min);
                default -> { }
            }
        }
    }

    /** Long.MAX_VALUE for a job that has only a deadline; sooner for work within its team's guarantee. */
    long startBy(Job j, boolean withinGuarantee) {
        Long aim = startWithin.get(j.spec().jobclass());
        long within = aim != null ? aim : j.spec().hasDeadline() ? Long.MAX_VALUE : startTargetMicros;
        if (withinGuarantee) {
            within = Math.min(within, guaranteedWithin);
        }
        return within == Long.MAX_VALUE ? Long.MAX_VALUE : j.acceptedMicros() + within;
    }

    long finishBy(Job j) {
        Long within = finishWithin.get(j.spec().jobclass());
        return within == null ? j.deadlineMicros() : Math.min(j.deadlineMicros(), j.acceptedMicros() + within);
    }
}
