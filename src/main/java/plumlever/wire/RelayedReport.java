package plumlever.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What the owner of a machine passes on to a cell whose tasks may be on it: the machine's own
 * report, with that cell's tasks only.
 *
 * @param from the cell that owns the machine
 * @param home the cell whose tasks these are
 * @param number that the owner's commands to the machine carry
 * @param lapsed the owner has proof that the machine's lease lapsed after this report
 */
public record RelayedReport(
    String from, String home, long number, boolean lapsed, WorkerReport report) {
  private static final String FROM = "from";
  private static final String HOME = "home";
  private static final String NUMBER = "number";
  private static final String LAPSED = "lapsed";
  private static final String REPORT = "report";

  /** The body of the request. */
  public byte[] write() {
    ObjectNode object =
        Json.object()
            .put(FROM, from)
            .put(HOME, home)
            .put(NUMBER, number)
            .put(LAPSED, lapsed)
            .set(REPORT, json(report));
    return Json.write(object).getBytes(StandardCharsets.UTF_8);
  }

  private static ObjectNode json(WorkerReport report) {
    ObjectNode object =
        Json.object()
            .put("host", report.host())
            .put("endpoint", report.endpoint())
            .put("flavor", report.flavor())
            .put("site", report.site())
            .put("loaners", report.loaners())
            .put("tenure", report.incarnation())
            .put("tick", report.sequenceNumber())
            .put("baton", report.fencingToken());
    if (report.noticed()) {
      object.put("reclaim_in_s", report.reclaimInS());
    }
    ArrayNode pieces = object.putArray("pieces");
    for (WorkerReport.Piece piece : report.pieces()) {
      ObjectNode node =
          pieces
              .addObject()
              .put("piece", piece.task().wireName())
              .put("try", piece.attempt())
              .put("status", piece.status().wireName());
      if (piece.cause() != null) {
        node.put("exit_cause", piece.cause().wireName()).put("saved", piece.saved());
      }
    }
    return object;
  }

  /** Reads the body of such a request. */
  public static RelayedReport parse(byte[] body) throws InvalidMessage {
    ObjectNode object = Json.parseObject(body);
    if (!(object.get(REPORT) instanceof ObjectNode report)) {
      throw new InvalidMessage("report is missing");
    }
    return new RelayedReport(
        Json.text(object, FROM),
        Json.text(object, HOME),
        Json.whole(object, NUMBER, 0, Long.MAX_VALUE),
        Json.flag(object, LAPSED),
        WorkerReport.parse(Json.write(report).getBytes(StandardCharsets.UTF_8)));
  }

  /** The same with the tasks that are given. */
  public static WorkerReport only(WorkerReport report, List<WorkerReport.Piece> pieces) {
    return new WorkerReport(
        report.host(),
        report.endpoint(),
        report.flavor(),
        report.site(),
        report.loaners(),
        report.incarnation(),
        report.sequenceNumber(),
        report.fencingToken(),
        report.reclaimInS(),
        pieces);
  }
}
