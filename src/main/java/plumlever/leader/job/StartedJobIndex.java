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
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * The stored index of jobs of which a leader may have started a task: a job is in it before its
 * first start is sent. So a job that a new leader does not find here was never on any machine, and
 * need not wait until all machines are accounted for. A failover takes seconds, and where a zone is
 * cut off as long as a lease.
 */
public final class StartedJobIndex {
  /** The first start of each job waits for this, so little is gathered into one write. */
  private static final long PAUSE_MICROS = 60_000;

  private static final String JOBS = "jobs";
  private static final int BASE_BYTES = 32;

  /** A record as it was read. */
  private record FoundRecord(int number, long revision, List<String> uids) {}

  private final Logger log;
  private final SharedRecords<Job> records;
  private final List<FoundRecord> found = new ArrayList<>();
  private final Set<String> foundUids = new HashSet<>();

  /**
   * An index that is empty until it is read.
   *
   * @param recorded runs after jobs have become stored
   */
  public StartedJobIndex(TermContext context, Runnable recorded) {
    this.log = context.logs().of(StartedJobIndex.class);
    this.records = new SharedRecords<>(context, new Layout(), PAUSE_MICROS, recorded);
  }

  /**
   * Reads what earlier leaders stored. It was listed after this controller took its term, so nobody
   * else can add to it.
   */
  void read(List<StateClient.Item> items) {
    found.clear();
    foundUids.clear();
    for (StateClient.Item item : items) {
      int number = JobStore.sharedRecordNumber(item.key());
      if (number < 0) {
        log.error("{} is no record of jobs", item.key());
        continue;
      }
      List<String> uids = new ArrayList<>();
      item.data().path(JOBS).forEach(uid -> uids.add(uid.asText()));
      found.add(new FoundRecord(number, item.revision(), uids));
      foundUids.addAll(uids);
    }
  }

  /** True if an earlier leader may have started a task of it; so for all if there is no record. */
  boolean mayHaveStarted(String uid) {
    return found.isEmpty() || foundUids.contains(uid);
  }

  /** The active jobs are known: those that have ended leave the index. */
  void loaded(ActiveJobs jobs) {
    Map<String, Job> kept = new HashMap<>();
    for (FoundRecord record : found) {
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
   * Has the job stored in the index, since there is capacity for one of its tasks; none is started
   * until that is done. Not sooner: in a full fleet jobs wait for long, and only those in the index
   * have to wait through a failover.
   */
  public void register(Job job) {
    records.register(job);
  }

  /** The job has ended and leaves the index. */
  void remove(Job job) {
    records.remove(job);
  }

  /**
   * Writes records that jobs have left.
   *
   * @return microseconds until this should be called next
   */
  public long cleanUp() {
    return records.cleanUp();
  }

  /** Stores nothing more. */
  public void close() {
    records.close();
  }

  private static final class Layout implements SharedRecords.Layout<Job> {
    @Override
    public String key(int number) {
      return JobStore.startedKey(number);
    }

    @Override
    public int bytes(Job job) {
      return job.uid().length() + 3;
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
