package plumlever.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** What a worker tells of itself: the body of a report, and of the answers of the direct calls. */
public record WorkerReport(String host, String endpoint, String flavor, String site, boolean loaners,
        long tenure, long tick, long baton, double reclaimInS, List<Piece> pieces) {

    /** A task on a machine. */
    public record Piece(TaskName task, long attempt, TaskStatus status, ExitCause cause, boolean saved) {}

    /** Stands in {@code reclaimInS} for a machine that nobody takes away. */
    public static final double NO_NOTICE = -1;

    public boolean noticed() {
        return reclaimInS >= 0;
    }

    public boolean newerThan(long otherTenure, long otherTick) {
        return tenure > otherTenure || (tenure == otherTenure && tick > otherTick);
    }

    public static WorkerReport parse(byte[] body) throws InvalidMessage {
        ObjectNode o = Json.parseObject(body);
        List<Piece> pieces = new ArrayList<>();
        JsonNode array = o.get("pieces");
        if (array != null && !array.isNull()) {
            if (!array.isArray()) {
                throw new InvalidMessage("pieces must be a list");
            }
            for (JsonNode p : array) {
                TaskStatus status = TaskStatus.of(Json.text(p, "status"));
                ExitCause cause = status == TaskStatus.ENDED
                        ? ExitCause.of(Json.absent(p, "exit_cause") ? "" : p.get("exit_cause").asText()) : null;
                boolean saved = !Json.absent(p, "saved") && Json.flag(p, "saved");
                pieces.add(new Piece(TaskName.of(Json.text(p, "piece")),
                        Json.whole(p, "try", 0, Long.MAX_VALUE), status, cause, saved));
            }
        }
        return new WorkerReport(Json.text(o, "host"), Json.text(o, "endpoint"), Json.text(o, "flavor"),
                Json.text(o, "site"), Json.flag(o, "loaners"),
                Json.whole(o, "tenure", 0, Long.MAX_VALUE), Json.whole(o, "tick", 0, Long.MAX_VALUE),
                Json.whole(o, "baton", 0, Long.MAX_VALUE),
                Json.absent(o, "reclaim_in_s") ? NO_NOTICE : Json.amount(o, "reclaim_in_s", 0), pieces);
    }
}
