package plumlever.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final Map<String, Endpoint> connected = new HashMap<>();
    private final Map<String, Long> sickSince = new HashMap<>();
    private int next;

    FakeUsers(World world) {
        this.world = world;
        world.at(1_000_000, this::askForNothing);
        world.at(500_000, this::probe);
    }

    Set<String> accepted() {
        return accepted;
    }

    private Endpoint anyNode() {
        List<String> all = new ArrayList<>(world.members.keySet());
        return new Endpoint(all.get(world.random.nextInt(all.size())), 1);
    }

    /**
     * A user's connection stays on its node, whatever that answers, until it ends: by the node's own word, by a failure, or
     * when the load balancer has found the node unhealthy for five seconds.
     */
    private Endpoint nodeOf(String uid) {
        Endpoint at = connected.get(uid);
        if (at == null || unhealthy(at.host())) {
            List<String> healthy = new ArrayList<>(world.members.keySet());
            healthy.removeIf(this::unhealthy);
            at = healthy.isEmpty() ? anyNode() : new Endpoint(healthy.get(world.random.nextInt(healthy.size())), 1);
            connected.put(uid, at);
        }
        return at;
    }

    private boolean unhealthy(String node) {
        return world.now() - sickSince.getOrDefault(node, Long.MAX_VALUE / 2) > 5_000_000;
    }

    private void probe() {
        for (String node : world.members.keySet()) {
            world.send("balancer", new Endpoint(node, 1), "GET", "/up", null, 1_000_000, a -> {
                if ((Integer) a[0] == 200) {
                    sickSince.remove(node);
                } else {
                    sickSince.putIfAbsent(node, world.now());
                }
            });
        }
        world.at(1_000_000, this::probe);
    }

    private void heard(String uid, Object[] answer) {
        if ((Integer) answer[0] == 0 || (answer.length > 2 && (Boolean) answer[2])) {
            connected.remove(uid);
        }
    }

    private void askForNothing() {
        world.send("user", anyNode(), "GET", "/submissions/job-99" + next, null, 2_000_000, a -> {
            if ((Integer) a[0] == 200) {
                world.rules.broken.add("invented: job-99" + next);
            }
            world.at(7_000_000, this::askForNothing);
        });
    }

    /** A job like many. */
    JobSpec submit(int pieces, double cores, double expectS, boolean cancel) {
        boolean oneZone = world.random.nextInt(4) == 0;
        boolean spread = !oneZone && world.random.nextInt(4) == 0;
        JobSpec j = new JobSpec(nextUid(), "c" + next % 3, next % 2 == 0 ? "red" : "blue",
                Urgency.values()[world.random.nextInt(4)], pieces, cores, 0, 2, "img-" + next % 4, 1, null,
                world.random.nextInt(6) == 0 ? "a" : null, oneZone, spread, world.random.nextInt(3) > 0, expectS, 0, 0,
                world.random.nextBoolean() ? 60 : JobSpec.NO_DEADLINE);
        submit(j, cancel);
        return j;
    }

    void submit(JobSpec j, boolean cancel) {
        world.rules.submitted.put(j.uid(), j);
        world.rules.submittedAt.put(j.uid(), world.now());
        trySubmit(j, cancel);
    }

    String nextUid() {
        return String.format("job-%06d", ++next);
    }

    private void trySubmit(JobSpec j, boolean cancel) {
        world.send("user", nodeOf(j.uid()), "POST", "/submissions", Json.write(j.toJson()), 5_000_000, a -> {
            heard(j.uid(), a);
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

    void cancel(String uid) {
        cancelled.add(uid);
        world.send("user", nodeOf(uid), "POST", "/submissions/" + uid + "/abort", "", 5_000_000, a -> {
            heard(uid, a);
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

    /** Once, at this controller. */
    void cancelAt(Endpoint at, String uid, java.util.function.Consumer<Integer> status) {
        cancelled.add(uid);
        world.send("user", at, "POST", "/submissions/" + uid + "/abort", "", 5_000_000, a -> {
            if ((Integer) a[0] == 200) {
                tell(uid, (String) a[1]);
            }
            status.accept((Integer) a[0]);
        });
    }

    private void poll(String uid) {
        world.send("user", nodeOf(uid), "GET", "/submissions/" + uid, null, 2_000_000, a -> {
            heard(uid, a);
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
            world.rules.answered(uid);
            world.rules.told(uid, Json.parseObject(body).path("status").asText(), cancelled.contains(uid));
        } catch (InvalidMessage e) {
            world.rules.broken.add("unreadable: " + body);
        }
    }
}
