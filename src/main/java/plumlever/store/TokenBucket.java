package plumlever.store;

/**
 * Keeps requests within a rate, with bursts of one second's worth. It has no clock: callers tell
 * the time, which never goes back.
 */
public final class TokenBucket {
  private static final double MICROS_PER_S = 1_000_000;

  private double tokensPerMicro;
  private double capacity;
  private double tokens;
  private long refilledMicros;

  /** A bucket that is full and holds one second's worth. */
  public TokenBucket(double perSecond, long nowMicros) {
    this.tokensPerMicro = perSecond / MICROS_PER_S;
    this.capacity = Math.max(1, perSecond);
    this.tokens = capacity;
    this.refilledMicros = nowMicros;
  }

  /** From now on this many a second. */
  public void setRate(double perSecond, long nowMicros) {
    refill(nowMicros);
    tokensPerMicro = perSecond / MICROS_PER_S;
    capacity = Math.max(1, perSecond);
    tokens = Math.min(tokens, capacity);
  }

  /** True if so many, or a full bucket, could be taken now. */
  public boolean canAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    return tokens >= Math.min(amount, capacity);
  }

  /** Takes tokens if there are enough; false if there are not, and none is taken. */
  public boolean tryAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /**
   * Takes tokens whether or not there are enough, for requests that must go whatever the rate. They
   * are paid for by the ones that can wait, up to one second's worth.
   */
  public void acquireOnCredit(double amount, long nowMicros) {
    refill(nowMicros);
    tokens = Math.max(tokens - amount, -capacity);
  }

  private void refill(long nowMicros) {
    tokens = Math.min(capacity, tokens + (nowMicros - refilledMicros) * tokensPerMicro);
    refilledMicros = nowMicros;
  }
}
