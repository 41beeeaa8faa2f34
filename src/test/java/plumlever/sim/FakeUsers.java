package plumlever.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.HashSet;
import plumlever.settings.Endpoint;
import plumlever.wire.InvalidMessage;
import plumlever.wire.JobSpec;
import plumlever.wire.Json;
import plumlever.wire.Urgency;

/** Users who submit, poll, cancel some, and ask about jobs that nobody submitted. */
final class FakeUsers {
    private final World world;
    private final Set<String> accepted = new HashSet<>();
    private final Set<String> cancelled = new HashSet<>();
    private int next;

    FakeUsers(World world) {
        this.world = world;
        world.at(1_000_000, this::askForNothing);
    }

    Set<String> accepted() {
        return accepted;
    }

    private Endpoint anyNode() {
        List<String> all = new ArrayList<>(world.members.keySet());
        return new Endpoint(all.get(world.random.nextInt(all.size())), 1);
    }

    private void askForNothing() {
        world.send("user", anyNode(), "GET", "/submissions/job-99" + next, null, 2_000_000, a -> {
            if ((Integer) a[0] == 200) {
                world.rules.broken.add("invented: job-99" + next);
            }
            world.at(7_000_000, this::askForNothing);
        });
    }

    JobSpec submit(int pieces, double cores, double expectS, boolean cancel) {
        boolean oneZone = world.random.nextInt(4) == 0;
        boolean spread = !oneZone && world.random.nextInt(4) == 0;
        JobSpec j = new JobSpec(String.format("job-%06d", ++next), "c" + next % 3, next % 2 == 0 ? "red" : "blue",
                Urgency.values()[world.random.nextInt(4)], pieces, cores, 0, 2, "img-" + next % 4, 1, null,
                world.random.nextInt(6) == 0 ? "a" : null, oneZone, spread, world.random.nextInt(3) > 0, expectS, 0, 0,
                world.random.nextBoolean() ? 60 : JobSpec.NO_DEADLINE);
        world.rules.submitted.put(j.uid(), j);
        trySubmit(j, cancel);
        return j;
    }

    private void trySubmit(JobSpec j, boolean cancel) {
        world.send("user", anyNode(), "POST", "/submissions", Json.write(j.toJson()), 5_000_000, a -> {
            int code = (Integer) a[0];
            if (code == 201 || code == 200) {
                accepted.add(j.uid());
                tell(j.uid(), (String) a[1]);
                poll(j.uid());
                if (cancel) {
                    world.at(5_000_000 + world.random.nextLong(30_000_000), () -> cancel(j.uid()));
                }
            } else if (code == 400 || code == 422) {
                world.rules.broken.add("refused: " + j.uid() + " " + a[1]);
            } else {
                world.at(1_000_000, () -> trySubmit(j, cancel));
            }
        });
    }

    private void cancel(String uid) {
        cancelled.add(uid);
        world.send("user", anyNode(), "POST", "/submissions/" + uid + "/abort", "", 5_000_000, a -> {
            if ((Integer) a[0] == 200) {
                tell(uid, (String) a[1]);
            } else {
                if ((Integer) a[0] == 404) {
                    world.rules.broken.add("forgotten: " + uid);
                }
                world.at(1_000_000, () -> cancel(uid));
            }
        });
    }

    private void poll(String uid) {
        world.send("user", anyNode(), "GET", "/submissions/" + uid, null, 2_000_000, a -> {
            if ((Integer) a[0] == 200) {
                tell(uid, (String) a[1]);
            } else if ((Integer) a[0] == 404) {
                world.rules.broken.add("forgotten: " + uid);
            }
            world.at(5_000_000, () -> poll(uid));
        });
    }

    private void tell(String uid, String body) {
        try {
            world.rules.told(uid, Json.parseObject(body).path("status").asText(), cancelled.contains(uid));
        } catch (InvalidMessage e) {
            world.rules.broken.add("unreadable: " + body);
        }
    }
}
