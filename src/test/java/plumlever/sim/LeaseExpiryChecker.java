package plumlever.sim;

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

  /** Incarnation of a machine from which the controller has received no message in its term. */
  private static final long UNKNOWN_INCARNATION = 0;

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

  private void onExpiry(String machineId, long incarnation) {
    expiries++;
    FakeCloud.Vm vm = cluster.cloud.machines.get(machineId);
    if (vm == null || vm.worker == null) {
      return;
    }
    boolean ended =
        incarnation == UNKNOWN_INCARNATION
            ? !vm.worker.hasLiveTasks()
            : vm.worker.hasEndedIncarnation(incarnation);
    if (!ended) {
      cluster.invariants.violations.add(
          "lease_expiry at "
              + cluster.now() / 1e6
              + ": attempts of incarnation "
              + incarnation
              + " on "
              + machineId
              + " are ended before the worker's lease");
    }
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
      }
      service.atLevel(level).setCause(throwable).log(message, arguments);
    }
  }
}
