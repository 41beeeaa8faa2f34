package plumlever.store;

/**
 * Paths and JSON fields of the state service's protocol. Constants are named by the terms used in
 * this project; their values are the names that the protocol uses.
 */
final class StateProtocol {
  static final String KEYS = "/keys/";
  static final String KEYS_BY_PREFIX = "/keys?under=";
  static final String WATCH_BY_PREFIX = "/follow?under=";
  static final String TRANSACTION = "/txn";
  static final String LEASES = "/grants";
  static final String RENEW_SUFFIX = "/touch";
  static final String AFTER_PARAMETER = "&since=";
  static final String PAGE_SIZE_PARAMETER = "&page=";
  static final String WAIT_MS_PARAMETER = "&wait_ms=";

  static final String DELETE = "drop";
  static final String EVENTS = "log";
  static final String FAILED_PRECONDITIONS = "failed";
  static final String ITEMS = "items";
  static final String KEY = "k";
  static final String LEASE_ID = "permit";
  static final String MORE = "more";
  static final String OPERATIONS = "then";
  static final String PRECONDITIONS = "guards";
  static final String PUT = "put";
  static final String REVISION = "stamp";
  static final String STORE_REVISION = "epoch";
  static final String TTL_MS = "ttl_ms";
  static final String VALUE = "data";

  private StateProtocol() {}
}
