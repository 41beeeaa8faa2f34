package plumlever.knownred;

import java.lang.reflect.Method;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * JUnit extension that reports a failing test as aborted if the test is listed in {@code
 * KNOWN-RED.txt}. At the end of the test run, prints which listed tests failed and which passed. If
 * the list is malformed, every test fails.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  private static final ExtensionContext.Namespace NAMESPACE =
      ExtensionContext.Namespace.create(KnownRedExtension.class);

  /** The results of the listed tests in this test run. */
  static final class Outcomes implements AutoCloseable {
    private final KnownRedList list = KnownRedList.read(KnownRedList.FILE);
    private final Map<KnownRedEntry, Boolean> failedByEntry = new LinkedHashMap<>();

    private synchronized void recordOutcome(KnownRedEntry entry, boolean failed) {
      failedByEntry.merge(entry, failed, Boolean::logicalOr);
    }

    @Override
    public synchronized void close() {
      failedByEntry.forEach(
          (entry, failed) -> System.out.println((failed ? RED : GREEN) + ": " + entry.line()));
    }
  }

  static final String RED = "KNOWN RED, passed over";
  static final String GREEN = "KNOWN RED IS GREEN, take it off KNOWN-RED.txt";

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> called,
      ExtensionContext context)
      throws Throwable {
    run(invocation, called, context);
  }

  @Override
  public void interceptTestTemplateMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> called,
      ExtensionContext context)
      throws Throwable {
    run(invocation, called, context);
  }

  private static void run(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> called,
      ExtensionContext context)
      throws Throwable {
    Outcomes outcomes =
        context
            .getRoot()
            .getStore(NAMESPACE)
            .getOrComputeIfAbsent(Outcomes.class, key -> new Outcomes(), Outcomes.class);
    KnownRedEntry entry =
        outcomes.list.entryOf(called.getTargetClass(), called.getExecutable()).orElse(null);
    if (entry == null) {
      invocation.proceed();
      return;
    }
    try {
      invocation.proceed();
      outcomes.recordOutcome(entry, false);
    } catch (TestAbortedException e) {
      throw e;
    } catch (Throwable e) {
      outcomes.recordOutcome(entry, true);
      throw new TestAbortedException(RED + ": " + entry.line() + ": " + e.getMessage(), e);
    }
  }
}
