package plumlever.store;

/** Builds and parses the keys of the records in the state service. */
final class RecordKeys {
  static final String ACTIVE = "active/";
  static final String ENDED = "ended/";
  static final String PROGRESS = "progress/";
  static final String DEPENDENCIES = "waits/";
  static final String FLEET = "fleet/";
  static final String STARTED = "begun/";
  static final String WARM_STATE = "hints/";
  static final String CATALOG = "catalog";

  /** Prefix of the keys of the records that each hold the finished tasks of many small jobs. */
  static final String SHARED_PROGRESS = PROGRESS + "pack/";

  private static final int NO_NUMBER = -1;

  private RecordKeys() {}

  static String active(String uid) {
    return ACTIVE + uid;
  }

  /** Returns the job named by the key of an active record. */
  static String uidOfActive(String key) {
    return key.substring(ACTIVE.length());
  }

  static String ended(String uid) {
    return ENDED + uid;
  }

  /** Returns the job named by the key of an ended record. */
  static String uidOfEnded(String key) {
    return key.substring(ENDED.length());
  }

  static String sharedProgress(int number) {
    return SHARED_PROGRESS + number;
  }

  /**
   * For a key of the form {@code TYPE/N} of a record that lists several jobs or machines, returns
   * the record number N; -1 for a key of another form.
   */
  static int sharedRecordNumber(String key) {
    return number(key, key.indexOf('/') + 1);
  }

  /**
   * Returns the number of the shared progress chunk (finished tasks of many small jobs) with this
   * key, or -1 for any other key.
   */
  static int sharedProgressNumber(String key) {
    return key.startsWith(SHARED_PROGRESS) ? number(key, SHARED_PROGRESS.length()) : NO_NUMBER;
  }

  private static int number(String key, int begin) {
    try {
      return Integer.parseInt(key, begin, key.length(), 10);
    } catch (NumberFormatException e) {
      return NO_NUMBER;
    }
  }
}
