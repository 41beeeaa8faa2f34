package plumlever.store;

/** Keeps requests within a rate, with bursts of one second's worth. */
public final class TokenBucket {
  private double perMicro;
  private double burst;
  private double tokens;
  private long lastMicros;

  /** A bucket that is full and holds one second's worth. */
  public TokenBucket(double perSecond, long nowMicros) {
    this.perMicro = perSecond / 1e6;
    this.burst = Math.max(1, perSecond);
    this.tokens = burst;
    this.lastMicros = nowMicros;
  }

  /** From now on this many a second. */
  public void setRate(double perSecond, long nowMicros) {
    refill(nowMicros);
    perMicro = perSecond / 1e6;
    burst = Math.max(1, perSecond);
    tokens = Math.min(tokens, burst);
  }

  /** True if so many could be taken now. */
  public boolean canAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    return tokens >= Math.min(amount, burst);
  }

  /** Takes tokens if there are enough. */
  public boolean tryAcquire(double amount, long nowMicros) {
    refill(nowMicros);
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** For requests that must go whatever the rate; they are paid for by the ones that can wait. */
  public void acquireOnCredit(double amount, long nowMicros) {
    refill(nowMicros);
    tokens = Math.max(tokens - amount, -burst);
  }

  private void refill(long nowMicros) {
    tokens = Math.min(burst, tokens + (nowMicros - lastMicros) * perMicro);
    lastMicros = nowMicros;
  }
}
