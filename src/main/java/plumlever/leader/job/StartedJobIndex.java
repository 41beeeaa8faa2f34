package plumlever.leader.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import plumlever.fleet.Job;
import plumlever.leader.context.Context;
import plumlever.leader.record.SharedRecords;
import plumlever.store.JobStore;
import plumlever.store.StateClient;
import plumlever.wire.Json;

/**
 * The stored record of the jobs that a leader may have ordered something of: a job is in it before
 * its first order goes out. So what a new leader does not find here was never on any machine, and
 * need not wait until all machines are accounted for: a failover takes seconds, and where a zone is
 * cut off as long as a lease.
 */
public final class StartedJobIndex {
  private static final Logger LOG = LoggerFactory.getLogger(StartedJobIndex.class);

  /** Jobs come one at a time and their first start waits for this, so little is gathered. */
  private static final long PAUSE_MICROS = 60_000;

  private static final String JOBS = "jobs";
  private static final int BASE_BYTES = 32;

  private record Found(int number, long revision, List<String> uids) {}

  private final SharedRecords<Job> records;
  private final List<Found> found = new ArrayList<>();
  private final Set<String> foundUids = new HashSet<>();

  /**
   * @param recorded runs when jobs have come to be on record
   */
  public StartedJobIndex(Context context, Runnable recorded) {
    this.records = new SharedRecords<>(context, new Layout(), PAUSE_MICROS, recorded);
  }

  /**
   * Takes in what earlier leaders stored; read after this controller took its term, so nobody else
   * can add to it.
   */
  void read(List<StateClient.Item> items) {
    found.clear();
    foundUids.clear();
    for (StateClient.Item item : items) {
      int number = JobStore.sharedRecordNumber(item.key());
      if (number < 0) {
        LOG.error("{} is no record of jobs", item.key());
        continue;
      }
      List<String> uids = new ArrayList<>();
      for (JsonNode node : item.data().path(JOBS)) {
        uids.add(node.asText());
      }
      found.add(new Found(number, item.revision(), uids));
      foundUids.addAll(uids);
    }
  }

  /**
   * True if an earlier leader may have ordered something of it. Without any record that is not
   * known, and so may be.
   */
  boolean mayHaveStarted(String uid) {
    return found.isEmpty() || foundUids.contains(uid);
  }

  /** The jobs are known by now: those that have ended go from the records. */
  void loaded(ActiveJobs jobs) {
    Map<String, Job> kept = new HashMap<>();
    for (Found record : found) {
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
   * The job is to be recorded, since there is room for one of its tasks; until that is stored none
   * is ordered. Not sooner: in a full fleet jobs wait for long, and through a failover only those
   * that were begun must.
   */
  public void enroll(Job job) {
    records.enroll(job);
  }

  /** The job has ended. */
  void remove(Job job) {
    records.remove(job);
  }

  public long tidy() {
    return records.tidy();
  }

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
