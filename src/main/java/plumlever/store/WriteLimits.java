package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.Json;

/**
 * How much one write may hold. It begins with the smaller of what the settings say of now and of
 * later, and gets smaller when the state service refuses a write for its size: limits may fall
 * without notice. Belongs to its client's loop.
 */
public final class WriteLimits {
  /** The least bytes of a value that records can be kept with; settings are checked for it. */
  public static final int MIN_VALUE_BYTES = 1024;

  /** The least operations of a transaction that records can be kept with. */
  public static final int MIN_OPERATIONS = 3;

  private static final Logger LOG = LoggerFactory.getLogger(WriteLimits.class);

  private final int formerValueBytes;
  private int maxValueBytes;
  private int maxOperations;

  /** The limits that the settings state. */
  public WriteLimits(PlatformConfiguration.StateLimits settings) {
    this.maxValueBytes = settings.valueBytes();
    this.maxOperations = settings.transactionOps();
    this.formerValueBytes = settings.formerValueBytes();
  }

  /** The most that a value may take, in bytes. */
  public int maxValueBytes() {
    return maxValueBytes;
  }

  /** The most puts and deletes in one transaction; it takes four times as many preconditions. */
  public int maxOperations() {
    return maxOperations;
  }

  /**
   * What former versions, which knew of no later limit, took for the most that a value may take.
   */
  int formerValueBytes() {
    return formerValueBytes;
  }

  /**
   * A transaction was called malformed. Nothing but its size can be wrong with it, so what comes
   * next is smaller.
   */
  void refused(Transaction transaction) {
    int largestValue = largestValueBytes(transaction);
    int fewerOperations = operationsAfterRefusal(transaction.operationCount());
    int smallerValue = valueBytesAfterRefusal(largestValue);
    if (fewerOperations < maxOperations || smallerValue < maxValueBytes) {
      LOG.warn(
          "a write of {} changes and values of up to {} bytes was refused: from now on {} changes"
              + " of {} bytes at most",
          transaction.operationCount(),
          largestValue,
          fewerOperations,
          smallerValue);
      maxOperations = fewerOperations;
      maxValueBytes = smallerValue;
    }
  }

  private int operationsAfterRefusal(int refusedOperations) {
    return refusedOperations <= MIN_OPERATIONS
        ? maxOperations
        : Math.max(MIN_OPERATIONS, Math.min(maxOperations, refusedOperations / 2));
  }

  private int valueBytesAfterRefusal(int refusedValueBytes) {
    return refusedValueBytes <= MIN_VALUE_BYTES
        ? maxValueBytes
        : Math.max(MIN_VALUE_BYTES, Math.min(maxValueBytes, refusedValueBytes / 2));
  }

  private static int largestValueBytes(Transaction transaction) {
    int largest = 0;
    for (JsonNode operation : transaction.body().path(StateProtocol.OPERATIONS)) {
      if (operation.has(StateProtocol.VALUE)) {
        String value = Json.write(operation.get(StateProtocol.VALUE));
        largest = Math.max(largest, value.getBytes(StandardCharsets.UTF_8).length);
      }
    }
    return largest;
  }
}
