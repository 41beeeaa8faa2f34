package plumlever.leader.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.failover.Failover;
import plumlever.leader.job.ActiveJobs;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SharingSettings;
import plumlever.sharing.LimitParts;
import plumlever.sharing.LimitPolicy;
import plumlever.sharing.PoolView;
import plumlever.sharing.ShardDemand;

/**
 * Manages this shard's part of each team's limit (the cores and accelerators that the team may use
 * in this shard) and moves unused cores of the part to shards that need them. Cores that are being
 * moved are subtracted from this shard's part before the transaction is sent, until its outcome is
 * known.
 */
final class LimitSharing {
  private final Logger log;
  private final TermContext context;
  private final SharingSettings sharing;
  private final String ownShard;
  private final ActiveJobs jobs;
  private final Failover failover;
  private final PoolView view;
  private final PoolWriter writer;

  /**
   * The cores, by team, that a queued or sent transaction moves from this shard's part of the
   * team's limit to another shard. A team whose limit is being split for the first time has an
   * entry of 0, so that no second split is queued.
   */
  private final Map<String, Double> coresBeingMoved = new HashMap<>();

  LimitSharing(
      TermContext context,
      SharingSettings sharing,
      ActiveJobs jobs,
      Failover failover,
      PoolView view,
      PoolWriter writer) {
    this.context = context;
    this.log = context.loggerProvider().of(LimitSharing.class);
    this.sharing = sharing;
    this.ownShard = sharing.ownShard().name();
    this.jobs = jobs;
    this.failover = failover;
    this.view = view;
    this.writer = writer;
  }

  /**
   * Returns this shard's part of the team's limit on cores and accelerators, without the cores that
   * are being moved to other shards. 0 means that the resource has no limit.
   */
  LimitParts.Part limit(PlatformConfiguration.Team team) {
    if (team.maxCores() <= 0 && team.maxAccelerators() <= 0) {
      return LimitParts.Part.NONE;
    }
    LimitParts.Part part =
        view.limit(team.name()).map(parts -> parts.of(ownShard)).orElse(LimitParts.Part.NONE);
    double cores = part.cores() - coresBeingMoved.getOrDefault(team.name(), 0.0);
    return new LimitParts.Part(
        team.maxCores() <= 0 ? 0 : nonZero(cores),
        team.maxAccelerators() <= 0 ? 0 : nonZero(part.accelerators()));
  }

  /** Replaces 0, which stands for "no limit", by the smallest positive number. */
  private static double nonZero(double part) {
    return Math.max(part, Double.MIN_VALUE);
  }

  /** Returns, by team, how many cores this shard needs beyond its part of the team's limit. */
  Map<String, Double> coresWanted() {
    Map<String, Double> wanted = new TreeMap<>();
    for (PlatformConfiguration.Team team : context.platform().teams()) {
      double missingCores = coresNeeded(team) - limit(team).cores();
      if (team.maxCores() > 0 && missingCores > 0) {
        wanted.put(team.name(), Math.ceil(missingCores));
      }
    }
    return wanted;
  }

  /**
   * Returns the sum of the cores that the team's tasks may be using and that its pending tasks
   * request, but at most the team's limit.
   */
  private double coresNeeded(PlatformConfiguration.Team team) {
    double pendingCores = 0;
    for (Job job : jobs.all()) {
      if (job.spec().team().equals(team.name()) && !job.hasEnded() && !job.waitsForDependencies()) {
        pendingCores += job.pendingCount() * job.spec().cores();
      }
    }
    return Math.min(team.maxCores(), failover.coresPossiblyInUse(team.name()) + pendingCores);
  }

  /**
   * Splits each team limit that is not yet split into parts for the shards, and moves cores that
   * this shard does not need from its parts to other shards.
   */
  void run() {
    for (PlatformConfiguration.Team team : context.platform().teams()) {
      if (team.maxCores() <= 0 && team.maxAccelerators() <= 0) {
        continue;
      }
      if (view.limit(team.name()).isEmpty()) {
        split(team);
      } else if (team.maxCores() > 0 && !coresBeingMoved.containsKey(team.name())) {
        moveSpareCores(team);
      }
    }
  }

  private void split(PlatformConfiguration.Team team) {
    if (coresBeingMoved.putIfAbsent(team.name(), 0.0) != null) {
      return;
    }
    Map<String, Double> weights = new TreeMap<>();
    sharing.shards().forEach(shard -> weights.put(shard.name(), shard.weight()));
    LimitParts parts = LimitParts.split(team.maxCores(), team.maxAccelerators(), weights);
    String key = LimitParts.keyOf(team.name());
    writer.submit(
        new PoolWriter.Step() {
          @Override
          public Optional<PoolTransaction> build() {
            return view.limit(team.name()).isPresent()
                ? Optional.empty()
                : Optional.of(transaction().put(key, parts.toJson()));
          }

          @Override
          public void finished() {
            coresBeingMoved.remove(team.name());
          }
        });
  }

  private PoolTransaction transaction() {
    return new PoolTransaction(view, context.term().requireTerm());
  }

  private void moveSpareCores(PlatformConfiguration.Team team) {
    double spare = limit(team).cores() - coresNeeded(team);
    Map<String, Double> wanted = new TreeMap<>();
    for (SharingSettings.Shard shard : sharing.otherShards()) {
      view.demand(shard.name())
          .filter(demand -> demand.digest().equals(sharing.digest()))
          .map(ShardDemand::coresWanted)
          .map(byTeam -> byTeam.get(team.name()))
          .ifPresent(cores -> wanted.put(shard.name(), cores));
    }
    LimitPolicy.plan(spare, wanted).ifPresent(move -> moveSpareCores(team, move));
  }

  private void moveSpareCores(PlatformConfiguration.Team team, LimitPolicy.CoreMove move) {
    coresBeingMoved.put(team.name(), move.cores());
    String key = LimitParts.keyOf(team.name());
    long knownRevision = view.revisionOf(key);
    writer.submit(
        new PoolWriter.Step() {
          @Override
          public Optional<PoolTransaction> build() {
            // A changed revision means that this transaction was applied or can never be applied:
            // sending the transaction again could move the cores twice.
            return view.limit(team.name())
                .filter(parts -> view.revisionOf(key) == knownRevision)
                .map(parts -> parts.moved(ownShard, move.to(), move.cores(), 0))
                .map(parts -> transaction().put(key, parts.toJson()));
          }

          @Override
          public void finished() {
            coresBeingMoved.remove(team.name());
            context.metrics().count("limit_parts_given");
            log.debug(
                "moved {} cores of team {} to shard {}", move.cores(), team.name(), move.to());
          }
        });
  }
}
