package plumlever.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import plumlever.settings.PlatformConfiguration;

/** Tests the time from which a lease has certainly ended. */
final class LeaseExpiryBoundTest {
  private static final long LEASE_MICROS = 26_000_000;
  private static final long NEVER_MICROS = Long.MIN_VALUE / 4;

  /** Clocks of two machines drift apart by at most 0.05%, according to the protocol. */
  private static final double MAX_DRIFT = 0.0005;

  private static final PlatformConfiguration.Workers WORKERS =
      new PlatformConfiguration.Workers(4_000_000, LEASE_MICROS, 56_000_000);

  private final LeaseExpiryBound bound = new LeaseExpiryBound(WORKERS);

  private ExpiryEvidence evidence(long renewedByOthers, long renewed, long incarnationSeen) {
    return new ExpiryEvidence(false, renewedByOthers, renewed, incarnationSeen);
  }

  /** The real lease runs from any one of the events, on a worker with a slow clock. */
  @Test
  void noLeaseIsRunningWhenItCountsAsExpired() {
    SplittableRandom random = new SplittableRandom(41);
    for (int i = 0; i < 10_000; i++) {
      long[] events = {
        random.nextLong(100_000_000), random.nextLong(100_000_000), random.nextLong(100_000_000)
      };
      long expiredFrom =
          bound.expiredFromMicros(evidence(events[0], events[1], events[2])).orElseThrow();
      for (long event : events) {
        assertTrue(expiredFrom > event + LEASE_MICROS * (1 + MAX_DRIFT));
      }
    }
  }

  @Test
  void eachEventAloneStartsTheLease() {
    long expected = 7_000_000 + bound.maxRemainingMicros();

    assertEquals(
        OptionalLong.of(expected),
        bound.expiredFromMicros(evidence(7_000_000, NEVER_MICROS, NEVER_MICROS)));
    assertEquals(
        OptionalLong.of(expected),
        bound.expiredFromMicros(evidence(NEVER_MICROS, 7_000_000, NEVER_MICROS)));
    assertEquals(
        OptionalLong.of(expected),
        bound.expiredFromMicros(evidence(NEVER_MICROS, NEVER_MICROS, 7_000_000)));
  }

  @Test
  void aLeaseThatOthersMayRenewNeverCountsAsExpired() {
    ExpiryEvidence delegated = new ExpiryEvidence(true, 0, 0, 0);

    assertFalse(bound.hasExpired(delegated, Long.MAX_VALUE));
  }

  /** Other bounds that rest on the lease duration could leave out an event. */
  @Test
  void onlyTheBoundAndThePolicyForSilentMachinesUseTheLeaseDuration() {
    JavaClasses project =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("plumlever");
    ArchRuleDefinition.noClasses()
        .that()
        .doNotHaveFullyQualifiedName(LeaseExpiryBound.class.getName())
        .and()
        .doNotHaveFullyQualifiedName("plumlever.leader.machine.ReturnPolicy")
        .should()
        .callMethod(PlatformConfiguration.Workers.class, "leaseMicros")
        .check(project);
  }
}
