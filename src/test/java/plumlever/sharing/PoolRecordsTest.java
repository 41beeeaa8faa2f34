package plumlever.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import plumlever.wire.InvalidMessageException;
import plumlever.wire.Json;
import plumlever.wire.TaskName;

/**
 * Tests the pool's records: stored records parse to equal records, unknown formats are rejected,
 * and an older change does not overwrite a newer one.
 */
final class PoolRecordsTest {
  private static String name(int number) {
    return String.format("i-%06d", number);
  }

  @Test
  void worstCaseOwnerRecordFitsSmallestValueLimit() throws Exception {
    OwnerRecord record = OwnerRecord.EMPTY;
    for (int number = 0; number < 256; number++) {
      assertEquals(OwnerRecord.keyOf(name(0)), OwnerRecord.keyOf(name(number)));
      record = record.with(name(number), "cell-" + number * 7 % 3);
    }
    int bytes = Json.write(record.toJson()).length();
    assertTrue(bytes <= 1024, "bytes: " + bytes);
    OwnerRecord read = OwnerRecord.parse(record.toJson());
    assertEquals(Optional.of("cell-0"), read.holder(name(0)));
    assertEquals(Optional.of("cell-1"), read.with(name(0), "cell-1").holder(name(0)));
    assertEquals(Optional.empty(), read.without(name(0)).holder(name(0)));
    assertEquals(
        256,
        read.count("cell-0") + read.count("cell-1") + read.count("cell-2"),
        "each machine has exactly one owner");
  }

  @Test
  void differentSeriesUseDifferentRecords() {
    assertFalse(OwnerRecord.keyOf("i-000001").equals(OwnerRecord.keyOf("j-000001")));
    assertFalse(OwnerRecord.keyOf("i-1").equals(OwnerRecord.keyOf("i-000001")));
    assertEquals(new MachineId("rack~0", 0), MachineId.of("rack"));
    assertEquals(new MachineId("i-~6", 231), MachineId.of("i-000231"));
  }

  @Test
  void transferRecordStateTransitions() throws Exception {
    ForeignTask foreignTask = new ForeignTask(new TaskName("job-000001", 3), 77, 2, 0, 4);
    TransferRecord.Details machine =
        new TransferRecord.Details("i-000001", "10.0.0.1:9", "small", "a", true);
    TransferRecord offered =
        TransferRecord.offered(
            machine,
            2,
            "a",
            5,
            new TransferRecord.Offer("b", 99, "digest"),
            Map.of("a", List.of(foreignTask)));
    TransferRecord read = TransferRecord.parse("i-000001", offered.toJson());
    assertEquals(offered, read);
    assertFalse(read.hasTasksOf("a"), "tasks of the owner are not foreign tasks");
    TransferRecord taken = TransferRecord.parse("i-000001", read.taken("b", 6).toJson());
    assertTrue(taken.hasTasksOf("a"));
    assertEquals(List.of(foreignTask), taken.tasksByShard().get("a"));
    assertFalse(taken.isSettled());
    assertTrue(taken.withoutTasksOf("a").isSettled());
    assertTrue(
        taken.taken("a", 7).tasksByShard().isEmpty(),
        "tasks of the new owner are not foreign tasks");
    assertTrue(offered.withdrawn().isSettled());
    assertTrue(taken.gone().hasTasksOf("a"));
  }

  @Test
  void unknownFormatsAreRejected() {
    assertThrows(
        InvalidMessageException.class, () -> OwnerRecord.parse(Json.object().put("sets", 7)));
    assertThrows(
        InvalidMessageException.class,
        () -> {
          var malformed = Json.object();
          malformed.putObject("sets").put("a", "AAAA");
          OwnerRecord.parse(malformed);
        });
    assertThrows(
        InvalidMessageException.class,
        () -> TransferRecord.parse("i-000001", Json.object().put("state", "LENT")));
  }

  @Test
  void olderChangesDoNotUndoNewerOnes() throws Exception {
    PoolView view = new PoolView();
    String key = OwnerRecord.keyOf("i-000001");
    view.apply(key, OwnerRecord.EMPTY.with("i-000001", "b").toJson(), 12);
    view.apply(key, OwnerRecord.EMPTY.with("i-000001", "a").toJson(), 11);
    assertEquals(Optional.of("b"), view.holder("i-000001"));
    view.apply(key, null, 13);
    view.apply(key, OwnerRecord.EMPTY.with("i-000001", "b").toJson(), 12);
    assertEquals(Optional.empty(), view.holder("i-000001"));
    assertEquals(0, view.revisionOf(key), "precondition revision of an absent key");
    view.apply(key, OwnerRecord.EMPTY.with("i-000001", "c").toJson(), 14);
    view.markAbsent(key, 12);
    assertEquals(
        Optional.of("c"), view.holder("i-000001"), "the record was stored after the read was sent");
    view.markAbsent(key, 14);
    assertEquals(Optional.empty(), view.holder("i-000001"));
  }
}
