package plumlever.leader;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.Duty;
import plumlever.concurrent.Scope;
import plumlever.fleet.Attempt;
import plumlever.fleet.Estimates;
import plumlever.fleet.Fleet;
import plumlever.fleet.Job;
import plumlever.fleet.Machine;
import plumlever.http.Responder;
import plumlever.settings.Endpoint;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.InvalidMessage;
import plumlever.wire.Json;
import plumlever.wire.Order;
import plumlever.wire.WorkerReport;

/** One term of office: everything the leading node knows and does, from election until it leaves. */
public final class Leader implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
    private static final long ROUND_EVERY_MICROS = 250_000;
    private static final long DIRECT_TIMEOUT_MICROS = 1_500_000;
    private static final long RAISE_EVERY_MICROS = 2_000_000;
    private static final long RETRY_MICROS = 500_000;

    private final Context context;
    private final long term;
    private final Scope scope = new Scope();
    private final Fleet fleet;
    private final Jobs jobs;
    private final Estimates estimates = new Estimates();
    private final Takeover takeover;
    private final Progress progress;
    private final Reports reports;
    private final Round round;
    private final Machines machines;
    private final Hints hints;
    private final Duty rounds;
    private boolean loaded;
    private boolean due = true;

    public Leader(Context context, long term) {
        this.context = context;
        this.term = term;
        this.fleet = new Fleet(term);
        this.jobs = new Jobs(context, this::changed);
        this.takeover = new Takeover(context, fleet);
        this.progress = new Progress(context, jobs);
        this.reports = new Reports(context, fleet, jobs, estimates, takeover, progress, term);
        this.round = new Round(context, fleet, jobs, estimates, takeover);
        this.machines = new Machines(context, fleet, round, reports, takeover, this::changed);
        this.hints = new Hints(context, fleet, estimates);
        this.rounds = new Duty("rounds", context.loop(), this::roundTurn);
    }

    public void start() {
        readFleet();
    }

    private void readFleet() {
        if (scope.closed()) {
            return;
        }
        context.store().list(JobStore.FLEET, StateClient.Class.URGENT, listing -> {
            if (scope.closed()) {
                return;
            }
            if (listing == null) {
                context.loop().after(RETRY_MICROS, this::readFleet);
                return;
            }
            for (StateClient.Item i : listing.items()) {
                String host = i.key().substring(JobStore.FLEET.length());
                Machine m = new Machine(host, i.data().path("endpoint").asText(), i.data().path("flavor").asText(),
                        i.data().path("site").asText(), i.data().path("loaners").asBoolean(), context.loop().nowMicros());
                m.enrolment(Machine.Enrolment.STORED);
                fleet.add(m);
            }
            hints.read(() -> jobs.load(this::loaded));
        });
    }

    private void loaded() {
        loaded = true;
        takeover.loaded();
        int n = 0;
        for (Job j : jobs.all()) {
            if (j.complete()) {
                progress.taskDone(j, 0);
            }
            n++;
        }
        LOG.info("term {} begins with {} jobs and {} machines to account for, {} ms after election", term, n,
                takeover.open().size(), (context.loop().nowMicros() - takeover.startedMicros()) / 1_000);
        scope.own(jobs::close);
        scope.own(progress::close);
        scope.own(machines::close);
        scope.own(new Duty("progress", context.loop(), progress::write)).start();
        scope.own(new Duty("machines", context.loop(), machines::turn)).start();
        scope.own(new Duty("hints", context.loop(), hints::write)).start();
        scope.own(new Duty("raise", context.loop(), this::raise)).start();
        scope.own(rounds).start();
    }

    /** Raises the term on machines not accounted for, without waiting for their reports. */
    private long raise() {
        if (!context.office().mayAct()) {
            return RETRY_MICROS;
        }
        if (takeover.complete()) {
            return -1;
        }
        for (Machine m : new ArrayList<>(takeover.open())) {
            Endpoint at = m.endpoint() == null ? null : Endpoint.parse(m.endpoint());
            if (at != null) {
                context.caller().call(at, "GET", "/inspect", null, DIRECT_TIMEOUT_MICROS, (status, body) -> {
                    WorkerReport r = status == 200 ? read(body) : null;
                    if (r != null && r.host().equals(m.id())) {
                        raise(m, at, r.tenure());
                    }
                });
            }
        }
        return RAISE_EVERY_MICROS;
    }

    private void raise(Machine m, Endpoint at, long tenure) {
        if (scope.closed() || m.accounted() || !context.office().mayAct()) {
            return;
        }
        byte[] body = Json.write(Json.object().put("baton", term).put("tenure", tenure).set("orders", Json.object().arrayNode()))
                .getBytes(StandardCharsets.UTF_8);
        context.caller().call(at, "POST", "/orders", body, DIRECT_TIMEOUT_MICROS, (status, data) -> {
            WorkerReport r = status == 200 || status == 409 ? read(data) : null;
            if (r == null || scope.closed() || !context.office().mayAct() || !r.host().equals(m.id())) {
                return;
            }
            if (reports.apply(m, r, false)) {
                changed();
            }
        });
    }

    private static WorkerReport read(byte[] body) {
        try {
            return WorkerReport.parse(new String(body, StandardCharsets.UTF_8));
        } catch (InvalidMessage e) {
            LOG.warn("a worker's direct answer can't be read: {}", e.getMessage());
            return null;
        }
    }

    private void changed() {
        due = true;
    }

    private long roundTurn() {
        if (due && context.office().mayAct()) {
            due = !round.run(null);
        }
        return due ? 5_000 : ROUND_EVERY_MICROS;
    }

    /** Answers a worker's report; the caller has checked that this node leads. */
    public void report(WorkerReport r, Responder out) {
        if (!context.office().mayAct()) {
            out.later(503, "not in office", 1);
            return;
        }
        if (r.baton() > term) {
            // Somebody holds a later term, so this one is over whatever this node believes.
            context.office().resign("a worker has seen term " + r.baton(), 1_000_000);
            out.later(503, "not in office", 1);
            return;
        }
        if (machines.isDeleted(r.host())) {
            out.later(503, "this machine was returned", 1);
            return;
        }
        long now = context.loop().nowMicros();
        Machine m = fleet.machine(r.host());
        if (m == null) {
            m = new Machine(r.host(), r.endpoint(), r.flavor(), r.site(), r.loaners(), now);
            if (loaded) {
                fleet.add(m);
            }
        }
        m.learnEndpoint(r.endpoint());
        List<Order> orders = new ArrayList<>();
        if (loaded) {
            boolean news = reports.apply(m, r, true);
            if (m.enrolment() == Machine.Enrolment.NONE) {
                machines.reported();
            }
            if (news) {
                notice(m, r, now);
            }
            orders.addAll(reports.standing(m, r));
            if (news && r.baton() == term) {
                if (reports.takeChanged() || due) {
                    due = !round.run(m);
                    rounds.wakeIn(due ? 5_000 : ROUND_EVERY_MICROS);
                }
                if (round.hasPlan(m)) {
                    reports.start(m, round.planned(m), orders);
                    round.dropPlan(m);
                    due = true;
                }
            }
        }
        // Checked once more: a round that ran late may have outlived the right to act.
        if (!context.office().mayAct()) {
            out.later(503, "not in office", 1);
            return;
        }
        m.answered(context.loop().nowMicros());
        out.send(200, Order.answer(term, orders));
    }

    /** A machine about to be taken: tasks that can save are stopped in time, others are left to finish if they can. */
    private void notice(Machine m, WorkerReport r, long now) {
        if (!r.noticed()) {
            return;
        }
        for (Attempt a : m.attempts()) {
            if (!a.over() && a.job().spec().checkpoints()) {
                double save = a.job().spec().snapshotS();
                // The next report comes within a few seconds; what could not be saved after it is saved now.
                double slack = 1.5 * context.platform().workers().reportMicros() / 1e6 + 1;
                if (r.reclaimInS() <= save + slack + 2) {
                    a.halt(save + 1, now);
                }
            }
        }
    }

    /** True once nothing that earlier leaders started is unknown. */
    public boolean tookOver() {
        return takeover.complete();
    }

    /** Finished and running tasks of a job for display, or null if it is not known here. */
    public int[] counts(String uid) {
        Job j = loaded ? jobs.get(uid) : null;
        return j == null ? null : new int[] {j.doneCount(), j.liveCount()};
    }

    public java.util.Map<String, int[]> allCounts(java.util.Map<String, int[]> into) {
        if (loaded) {
            jobs.all().forEach(j -> into.put(j.uid(), new int[] {j.doneCount(), j.liveCount()}));
        }
        return into;
    }

    /** The job's end is stored; its tasks are stopped without waiting for the followed changes. */
    public void aborted(String uid) {
        if (loaded) {
            jobs.ended(uid);
        }
    }

    @Override
    public void close() {
        scope.close();
        jobs.close();
    }
}
