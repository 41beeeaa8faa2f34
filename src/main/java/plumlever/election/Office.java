package plumlever.election;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.concurrent.Duty;
import plumlever.concurrent.Loop;
import plumlever.concurrent.Scope;
import plumlever.settings.Tunables;
import plumlever.store.StateClient;
import plumlever.store.Txn;
import plumlever.wire.Json;

/**
 * Who leads. The leader holds a key that hangs on a grant of the state service; taking it raises the term in the
 * same transaction. How long this node may act is counted from when its last successful renewal was <em>sent</em>,
 * so it ends before the state service lets anyone else in.
 */
public final class Office implements AutoCloseable {
    /** Told on the loop. */
    public interface Holder {
        void elected(long term);

        void left(String why);
    }

    private static final Logger LOG = LoggerFactory.getLogger(Office.class);
    private static final String PREFIX = "office/";
    /** A stand-in's word that it renews leases under a mandate. */
    static final String STAND_IN = PREFIX + "stand-in";
    /** Allows the other controllers to renew leases for the leader, see {@link StandIn}. */
    public static final String MANDATE = PREFIX + "mandate";
    private static final String LEADER = PREFIX + "leader";
    private static final String TERM = PREFIX + "term";
    private static final long FOLLOW_MICROS = 5_000_000;
    private static final long RETRY_MICROS = 400_000;
    /** Both clocks may be off by 0.05%; this allows for twice the sum. */
    private static final double DRIFT = 0.002;

    private final String label;
    private final Loop loop;
    private final StateClient store;
    private final Tunables tunables;
    private final Holder holder;
    private final SplittableRandom random;
    private final Scope scope = new Scope();
    private final Duty touching;
    private final Duty standing;
    private final String nonce;

    private boolean known;
    private long epoch = -1;
    private long leaderStamp;
    private String leaderLabel;
    private String leaderNonce;
    private long leaderSeenMicros;
    private long termStamp;
    private long term;

    private boolean leading;
    private boolean busy;
    private boolean mandateSeen;
    private long standInFor = -1;
    private long permit;
    private long ownTermStamp;
    private long rightUntilMicros;
    private long notBeforeMicros;
    private int lost;

    public Office(String label, Loop loop, StateClient store, Tunables tunables, Holder holder, long seed) {
        this.label = label;
        this.loop = loop;
        this.store = store;
        this.tunables = tunables;
        this.holder = holder;
        this.random = new SplittableRandom(seed);
        this.nonce = Long.toHexString(random.nextLong());
        this.touching = scope.own(new Duty("touch", loop, this::touch));
        this.standing = scope.own(new Duty("stand", loop, this::stand));
    }

    public void start() {
        read();
    }

    public boolean leading() {
        return leading;
    }

    public long term() {
        return term;
    }

    /**
     * A guard that holds as long as no later term has begun: what a leader writes of its own work carries it, so that a
     * write carried out late can't spoil a successor's.
     */
    public Txn inTerm() {
        return new Txn().guard(TERM, ownTermStamp);
    }

    /** The grant that the office hangs on. */
    public long permit() {
        return permit;
    }

    /** Revision of the mandate under which another controller has said that it renews leases; advice. */
    public long standInFor() {
        return standInFor;
    }

    /** True if a mandate was there when the office was last heard of: advice to look. */
    public boolean mandateSeen() {
        return mandateSeen;
    }

    /** True while this node may act for the controllers; asked again right before every answer and order. */
    public boolean mayAct() {
        return leading && loop.nowMicros() < rightUntilMicros;
    }

    /** The live leader's label, or null if none is known lately. */
    public String leaderLabel() {
        boolean fresh = loop.nowMicros() - leaderSeenMicros < FOLLOW_MICROS + 2 * tunables.grantTtlMicros();
        return leaderLabel != null && fresh && !(leaderLabel.equals(label) && !leading) ? leaderLabel : null;
    }

    /** Gives the office up, and does not stand for a while so that another node gets it. */
    public void resign(String why, long pauseMicros) {
        notBeforeMicros = loop.nowMicros() + pauseMicros;
        if (leading) {
            long p = permit;
            leave(why);
            store.endGrant(p);
        }
    }

    private void read() {
        if (scope.closed()) {
            return;
        }
        store.list(PREFIX, StateClient.Class.URGENT, listing -> {
            if (listing == null) {
                loop.after(RETRY_MICROS + random.nextInt(200_000), this::read);
                return;
            }
            leaderStamp = 0;
            leaderLabel = null;
            termStamp = 0;
            mandateSeen = listing.items().stream().anyMatch(i -> i.key().equals(MANDATE));
            long newTerm = 0;
            for (StateClient.Item i : listing.items()) {
                if (i.key().equals(LEADER)) {
                    seeLeader(i.data(), i.stamp());
                } else if (i.key().equals(TERM)) {
                    termStamp = i.stamp();
                    newTerm = i.data().path("term").asLong();
                }
            }
            if (!leading) {
                term = newTerm;
            }
            epoch = listing.epoch();
            known = true;
            changed();
            follow();
        });
    }

    private void seeLeader(com.fasterxml.jackson.databind.JsonNode data, long stamp) {
        leaderStamp = stamp;
        leaderLabel = data.path("label").asText();
        leaderNonce = data.path("nonce").asText();
        leaderSeenMicros = loop.nowMicros();
    }

    private void follow() {
        if (scope.closed()) {
            return;
        }
        store.follow(PREFIX, epoch, FOLLOW_MICROS, changes -> {
            if (changes.status() == 410) {
                read();
                return;
            }
            if (changes.status() != 200) {
                // Refused or cut off: what is known grows old, so it is read anew before anything is built on it.
                loop.after(RETRY_MICROS + random.nextInt(200_000), this::read);
                return;
            }
            epoch = Math.max(epoch, changes.epoch());
            for (StateClient.Change c : changes.log()) {
                if (c.key().equals(LEADER)) {
                    if (c.data() == null && c.stamp() > leaderStamp) {
                        leaderStamp = 0;
                        leaderLabel = null;
                    } else if (c.data() != null && c.stamp() > leaderStamp) {
                        seeLeader(c.data(), c.stamp());
                    }
                } else if (c.key().equals(STAND_IN) && c.data() != null) {
                    standInFor = c.data().path("mandate").asLong(-1);
                } else if (c.key().equals(MANDATE)) {
                    mandateSeen = c.data() != null;
                } else if (c.key().equals(TERM) && c.data() != null && c.stamp() > termStamp) {
                    termStamp = c.stamp();
                    if (!leading) {
                        term = c.data().path("term").asLong();
                    }
                }
            }
            if (leaderLabel != null) {
                leaderSeenMicros = loop.nowMicros();
            }
            changed();
            follow();
        });
    }

    private boolean mine() {
        return label.equals(leaderLabel) && nonce.equals(leaderNonce);
    }

    private void changed() {
        if (leading) {
            if (!busy && leaderStamp != 0 && !mine()) {
                leave("another node holds the office");
            }
        } else if (!busy && (leaderStamp == 0 || label.equals(leaderLabel))) {
            // A key of this node's own that it does not act on is left from an earlier life of this process:
            // that one is dead, so the office is free.
            standing.wakeIn(lost * 150_000L + random.nextInt(250_000));
        }
    }

    private long stand() {
        if (leading || busy || !known || !(leaderStamp == 0 || label.equals(leaderLabel))) {
            return -1;
        }
        long now = loop.nowMicros();
        if (now < notBeforeMicros) {
            return notBeforeMicros - now;
        }
        busy = true;
        // The guards are what this decision was taken on: followed changes go on arriving while the grant is made, and
        // a guard on the newest stamp would depose a leader elected in between.
        long seenLeader = leaderStamp;
        long seenTerm = termStamp;
        long newTerm = term + 1;
        store.grant(tunables.grantTtlMicros(), p -> {
            if (p < 0) {
                busy = false;
                standing.wakeIn(RETRY_MICROS + random.nextInt(400_000));
                return;
            }
            long sentAt = now;
            ObjectNode leader = Json.object().put("label", label).put("nonce", nonce).put("term", newTerm);
            Txn txn = new Txn().guard(LEADER, seenLeader).guard(TERM, seenTerm)
                    .put(LEADER, leader, p).put(TERM, Json.object().put("term", newTerm)).drop(MANDATE);
            store.txn(txn, StateClient.Class.URGENT, result -> {
                switch (result.outcome()) {
                    case APPLIED -> take(p, newTerm, result.epoch(), sentAt);
                    case UNKNOWN -> settle(p, newTerm, sentAt, 0);
                    default -> giveUp(p);
                }
            });
        });
        return -1;
    }

    /** An uncertain answer is settled by reading, never by assuming. */
    private void settle(long p, long newTerm, long sentAt, int tries) {
        store.get(LEADER, StateClient.Class.URGENT, got -> {
            if (got.found() && label.equals(got.item().data().path("label").asText())
                    && nonce.equals(got.item().data().path("nonce").asText())
                    && got.item().data().path("term").asLong() == newTerm) {
                // Both keys were put in one change and so have the same revision.
                take(p, newTerm, got.item().stamp(), sentAt);
            } else if (got.found() || got.missing() || tries >= 3) {
                giveUp(p);
            } else {
                loop.after(RETRY_MICROS, () -> settle(p, newTerm, sentAt, tries + 1));
            }
        });
    }

    private void giveUp(long p) {
        // Ending the grant makes a late execution of the transaction fail.
        store.endGrant(p);
        busy = false;
        lost = Math.min(lost + 1, 6);
        loop.after(50_000, this::reread);
    }

    private void reread() {
        store.list(PREFIX, StateClient.Class.URGENT, listing -> {
            if (listing != null && !leading && !busy) {
                boolean leaderFound = false;
                for (StateClient.Item i : listing.items()) {
                    if (i.key().equals(LEADER)) {
                        leaderFound = true;
                        seeLeader(i.data(), i.stamp());
                    } else if (i.key().equals(TERM)) {
                        termStamp = i.stamp();
                        term = i.data().path("term").asLong();
                    }
                }
                if (!leaderFound) {
                    leaderStamp = 0;
                    leaderLabel = null;
                }
                changed();
            } else if (listing == null) {
                standing.wakeIn(RETRY_MICROS + random.nextInt(400_000));
            }
        });
    }

    private void take(long p, long newTerm, long stamp, long sentAt) {
        ownTermStamp = stamp;
        busy = false;
        lost = 0;
        permit = p;
        term = newTerm;
        leading = true;
        leaderLabel = label;
        leaderNonce = nonce;
        leaderSeenMicros = loop.nowMicros();
        extend(sentAt);
        if (!mayAct()) {
            leave("the grant ran out while the office was taken");
            return;
        }
        LOG.info("leading, term {}", newTerm);
        touching.wakeIn(tunables.touchMicros());
        holder.elected(newTerm);
    }

    private void extend(long sentAt) {
        long until = sentAt + (long) (tunables.grantTtlMicros() * (1 - DRIFT)) - tunables.actMarginMicros();
        rightUntilMicros = Math.max(rightUntilMicros, until);
    }

    private long touch() {
        if (!leading) {
            return -1;
        }
        long now = loop.nowMicros();
        if (now >= rightUntilMicros) {
            leave("the grant could not be renewed");
            return -1;
        }
        long p = permit;
        store.touch(p, result -> {
            if (!leading || permit != p) {
                return;
            }
            switch (result) {
                case RENEWED -> extend(now);
                case ENDED -> leave("the grant has ended");
                case UNKNOWN -> touching.wakeIn(Math.min(RETRY_MICROS, Math.max(1, rightUntilMicros - loop.nowMicros())));
            }
        });
        return Math.min(tunables.touchMicros(), Math.max(1, rightUntilMicros - now));
    }

    private void leave(String why) {
        leading = false;
        rightUntilMicros = 0;
        LOG.info("no longer leading term {}: {}", term, why);
        holder.left(why);
        if (mine()) {
            // Until the key is seen to go, or somebody else's comes, nothing is known of who leads.
            leaderLabel = null;
            leaderStamp = -1;
        }
        loop.after(RETRY_MICROS, this::reread);
    }

    @Override
    public void close() {
        if (leading) {
            resign("shutting down", 3_600_000_000L);
        }
        scope.close();
    }
}
