package plumlever.sim;

import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import plumlever.leader.heartbeat.LeaseExpiry;
import plumlever.leader.pool.PoolSharing;
import plumlever.metrics.LoggerProvider;

/**
 * Checks that a controller ends attempts because a lease has expired only once the lease of the
 * real worker has ended. The controllers log each such decision; this class provides their loggers
 * and compares the logged incarnation with the simulated worker.
 */
final class LeaseExpiryChecker implements LoggerProvider {
  private static final Set<String> DECIDING_CLASSES =
      Set.of(LeaseExpiry.class.getName(), PoolSharing.class.getName());

  private static final String EXPIRY_LINE = "lease of machine {} incarnation {} has expired";
  private static final int MACHINE_ARGUMENT = 0;
  private static final int INCARNATION_ARGUMENT = 1;

  private static final String OTHERS_LINE = "tasks that others started on machine {} have ended";
  private static final int TERM_ARGUMENT = 1;

  private final SimulatedCluster cluster;

  /** Number of times that a controller ended attempts because a lease had expired. */
  int expiries;

  LeaseExpiryChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  @Override
  public Logger of(Class<?> owner) {
    Logger service = LoggerFactory.getLogger(owner);
    return DECIDING_CLASSES.contains(owner.getName()) ? new ObservedLogger(service) : service;
  }

  private Optional<FakeWorker> worker(String machineId) {
    return Optional.ofNullable(cluster.cloud.machines.get(machineId)).map(vm -> vm.worker);
  }

  private void onExpiry(String machineId, long incarnation) {
    expiries++;
    if (worker(machineId).filter(worker -> !worker.hasEndedIncarnation(incarnation)).isPresent()) {
      addViolation(machineId, "attempts of incarnation " + incarnation);
    }
  }

  private void onExpiryForOthers(String machineId, long term) {
    expiries++;
    if (worker(machineId).filter(worker -> worker.hasLiveTasksOfOtherTerms(term)).isPresent()) {
      addViolation(machineId, "tasks of other terms than " + term);
    }
  }

  private void addViolation(String machineId, String ended) {
    cluster.invariants.violations.add(
        "lease_expiry at "
            + cluster.now() / 1e6
            + ": "
            + ended
            + " on "
            + machineId
            + " are ended before the worker's lease");
  }

  /** Passes all lines on and reports those that say that a lease has expired. */
  private final class ObservedLogger extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;

    private final transient Logger service;

    ObservedLogger(Logger service) {
      this.service = service;
      this.name = service.getName();
    }

    @Override
    public boolean isTraceEnabled() {
      return service.isTraceEnabled();
    }

    @Override
    public boolean isDebugEnabled() {
      return true;
    }

    @Override
    public boolean isInfoEnabled() {
      return true;
    }

    @Override
    public boolean isWarnEnabled() {
      return service.isWarnEnabled();
    }

    @Override
    public boolean isErrorEnabled() {
      return service.isErrorEnabled();
    }

    @Override
    protected String getFullyQualifiedCallerName() {
      return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String message, Object[] arguments, Throwable throwable) {
      if (message.startsWith(EXPIRY_LINE)) {
        onExpiry((String) arguments[MACHINE_ARGUMENT], (Long) arguments[INCARNATION_ARGUMENT]);
      } else if (message.startsWith(OTHERS_LINE)) {
        onExpiryForOthers((String) arguments[MACHINE_ARGUMENT], (Long) arguments[TERM_ARGUMENT]);
      }
      service.atLevel(level).setCause(throwable).log(message, arguments);
    }
  }
}
