package plumlever.store;

/**
 * A token bucket rate limiter whose capacity is the number of tokens that are refilled in one
 * second, but at least one token. It reads no clock: callers pass the current time, which must not
 * decrease.
 */
public final class TokenBucket {
  private static final double MICROS_PER_S = 1_000_000;

  private double tokensPerMicro;
  private double capacity;
  private double tokens;
  private long refilledMicros;

  /** Creates a full bucket whose capacity is the number of tokens refilled in one second. */
  public TokenBucket(double perSecond, long nowMicros) {
    this.tokensPerMicro = perSecond / MICROS_PER_S;
    this.capacity = Math.max(1, perSecond);
    this.tokens = capacity;
    this.refilledMicros = nowMicros;
  }

  /**
   * Changes the refill rate, and sets the capacity to the number of tokens refilled in one second.
   */
  public void setRate(double perSecond, long nowMicros) {
    refill(nowMicros);
    tokensPerMicro = perSecond / MICROS_PER_S;
    capacity = Math.max(1, perSecond);
    tokens = Math.min(tokens, capacity);
  }

  /**
   * Returns true if this many tokens are available. For an amount above the capacity, a full bucket
   * is enough.
   */
  public boolean canAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    return tokens >= Math.min(amount, capacity);
  }

  /**
   * Takes this many tokens and returns true if enough are available; otherwise takes none and
   * returns false.
   */
  public boolean tryAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /**
   * Takes tokens even if not enough are available, for requests that must be sent regardless of the
   * rate. The missing tokens, at most as many as are refilled in one second, become a debt; until
   * the refill has repaid it, {@link #tryAcquire} returns false.
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
