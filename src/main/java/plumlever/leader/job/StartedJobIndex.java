package plumlever.leader.job;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import plumlever.fleet.Job;
import plumlever.leader.context.TermContext;
import plumlever.leader.record.SharedRecords;
import plumlever.store.RecordLayout;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * The stored index of jobs of which a leader may have started a task. A job is added to the index
 * before its first start command is sent. A job that a new leader does not find in the index has
 * therefore never run on any machine, and its tasks need not wait until all tasks that earlier
 * leaders left running on the machines are known. That wait takes seconds, or up to a full lease if
 * a zone is partitioned.
 */
public final class StartedJobIndex {
  /**
   * Minimum time between two writes of a record of the index of started jobs. The time is short
   * because the first start of each job waits for the write; therefore few jobs share a write.
   */
  private static final long PAUSE_MICROS = 60_000;

  private static final String JOBS = "jobs";

  /** An upper bound on the size of an index record without jobs. */
  private static final int BASE_BYTES = 32;

  /** A record of the index of started jobs, as an earlier leader stored it. */
  private record StoredRecord(int number, long revision, List<String> uids) {}

  private final Logger log;
  private final SharedRecords<Job> records;
  private final List<StoredRecord> storedRecords = new ArrayList<>();
  private final Set<String> storedUids = new HashSet<>();

  /**
   * Creates an empty index.
   *
   * @param onStored runs after jobs have been stored in the index
   */
  public StartedJobIndex(TermContext context, Runnable onStored) {
    this.log = context.loggerProvider().of(StartedJobIndex.class);
    this.records = new SharedRecords<>(context, new Layout(), PAUSE_MICROS, onStored);
  }

  /**
   * Reads the index records that earlier leaders stored. The records were listed after this
   * controller had acquired its term, so no other controller can still add jobs to them.
   */
  void read(List<StateClient.Item> items) {
    storedRecords.clear();
    storedUids.clear();
    for (StateClient.Item item : items) {
      int number = RecordLayout.sharedRecordNumber(item.key());
      if (number < 0) {
        log.error("ignoring key {}: not a record of the started-job index", item.key());
        continue;
      }
      List<String> uids = new ArrayList<>();
      item.data().path(JOBS).forEach(uid -> uids.add(uid.asText()));
      storedRecords.add(new StoredRecord(number, item.revision(), uids));
      storedUids.addAll(uids);
    }
  }

  /**
   * Returns true if an earlier leader may have started a task of the job. If no record of the index
   * is stored, returns true for every job.
   */
  boolean mayHaveStarted(String uid) {
    return storedRecords.isEmpty() || storedUids.contains(uid);
  }

  /**
   * Marks the active jobs that the stored index of started jobs lists, and drops jobs that have
   * ended from the index.
   */
  void loadEntries(ActiveJobs jobs) {
    Map<String, Job> kept = new HashMap<>();
    for (StoredRecord record : storedRecords) {
      List<Job> entries = new ArrayList<>();
      for (String uid : record.uids) {
        Job job = jobs.get(uid);
        if (job != null && kept.putIfAbsent(uid, job) == null) {
          entries.add(job);
        }
      }
      records.load(record.number, record.revision, entries);
    }
  }

  /**
   * Adds the job to the stored index of started jobs, once there is capacity for one of its tasks.
   * No task is started until the write is acknowledged. Jobs are not added earlier because jobs
   * wait for a long time in a full fleet, and only jobs in the index have to wait for the end of a
   * failover.
   */
  public void register(Job job) {
    records.register(job);
  }

  /** Removes a job that has ended from the index. */
  void remove(Job job) {
    records.remove(job);
  }

  /**
   * Rewrites the index records from which jobs have been removed.
   *
   * @return microseconds until the next call
   */
  public long cleanUp() {
    return records.cleanUp();
  }

  /** Stops all writes of the index of started jobs. */
  public void close() {
    records.close();
  }

  private static final class Layout implements SharedRecords.Layout<Job> {
    @Override
    public String key(int number) {
      return RecordLayout.startedKey(number);
    }

    @Override
    public int bytes(Job job) {
      return job.uid().length() + 3; // two quotes and a comma
    }

    @Override
    public int baseBytes() {
      return BASE_BYTES;
    }

    @Override
    public ObjectNode value(List<Job> jobs) {
      ObjectNode object = Json.object();
      ArrayNode array = object.putArray(JOBS);
      jobs.forEach(j -> array.add(j.uid()));
      return object;
    }
  }
}
