package plumlever.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.settings.PlatformConfiguration;
import plumlever.wire.Json;

/**
 * The maximum size of a value and the maximum number of operations in one transaction of the state
 * service. Each limit starts as the smaller of the current value and the value announced for later
 * in the settings. The state service may lower its limits without notice, so they shrink whenever
 * it refuses a transaction as too large. Used on the loop of its client only.
 */
public final class WriteLimits {
  /**
   * The smallest value size in bytes with which all records can be stored. Settings with a smaller
   * size are rejected.
   */
  public static final int MIN_VALUE_BYTES = 1024;

  /** The smallest number of operations per transaction with which all records can be stored. */
  public static final int MIN_OPERATIONS = 3;

  private static final Logger LOG = LoggerFactory.getLogger(WriteLimits.class);

  private final int currentValueBytes;
  private int maxValueBytes;
  private int maxOperations;

  /** Creates the limits with the initial values that the settings give. */
  public WriteLimits(PlatformConfiguration.StateLimits settings) {
    this.maxValueBytes = settings.valueBytes();
    this.maxOperations = settings.transactionOps();
    this.currentValueBytes = settings.currentValueBytes();
  }

  /** Returns the maximum size of a value in bytes. */
  public int maxValueBytes() {
    return maxValueBytes;
  }

  /**
   * Returns the maximum number of puts and deletes in a transaction. A transaction may have four
   * times as many preconditions.
   */
  public int maxOperations() {
    return maxOperations;
  }

  /**
   * Returns the maximum value size, in bytes, that the settings name as current, even if the
   * settings announce a lower limit or the state service has refused a write. Earlier versions
   * split progress records by this size, so it is needed to read their records.
   */
  int currentValueBytes() {
    return currentValueBytes;
  }

  /**
   * Lowers the limits after the state service refused this transaction as too large: to half of its
   * number of operations and half of the size of its largest value, but not below the minimums.
   */
  void lowerAfterRefusal(Transaction transaction) {
    int largestValue = largestValueBytes(transaction);
    int fewerOperations = operationsAfterRefusal(transaction.operationCount());
    int smallerValue = valueBytesAfterRefusal(largestValue);
    if (fewerOperations < maxOperations || smallerValue < maxValueBytes) {
      LOG.warn(
          "state service refused a write of {} operations with values of up to {} bytes; limiting"
              + " transactions to {} operations and values to {} bytes",
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
