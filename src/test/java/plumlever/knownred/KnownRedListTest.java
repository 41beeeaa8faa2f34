package plumlever.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the list of known failing tests is short, well-formed, and names existing tests. */
final class KnownRedListTest {
  private static final String OWN = KnownRedListTest.class.getName() + "#listedTestsExist";
  private static final String LINE = OWN + " | mvn test, seed 7 | what was seen | issue 1";

  @Test
  void listedTestsExist() {
    KnownRedList.read(KnownRedList.FILE).requireThatTestsExist();
  }

  @Test
  void parsesTestCommandObservationAndIssue() {
    KnownRedList list = KnownRedList.parse(List.of("# why", "", LINE));
    list.requireThatTestsExist();
    assertEquals(
        new KnownRedEntry(
            KnownRedListTest.class.getName(),
            "listedTestsExist",
            "mvn test, seed 7",
            "what was seen",
            "issue 1"),
        list.entries().get(0));
  }

  @Test
  void rejectsMalformedLine() {
    for (String line :
        List.of(
            OWN,
            OWN + " | command",
            OWN + " | command | seen",
            OWN + " | | seen | issue",
            OWN + " | command | | issue",
            OWN + " | command | seen | ",
            "NoMethod | command | seen | issue",
            LINE + " | one more")) {
      assertThrows(MalformedKnownRedException.class, () -> KnownRedList.parse(List.of(line)), line);
    }
  }

  @Test
  void rejectsMoreThanMaxEntries() {
    KnownRedList.parse(Collections.nCopies(KnownRedList.MAX_ENTRIES, LINE));
    List<String> tooMany = Collections.nCopies(KnownRedList.MAX_ENTRIES + 1, LINE);
    assertThrows(MalformedKnownRedException.class, () -> KnownRedList.parse(tooMany));
  }

  @Test
  void rejectsNameOfMissingTest() {
    for (String name : List.of(OWN + "s", "plumlever.NoSuchTest#method")) {
      KnownRedList list = KnownRedList.parse(List.of(name + " | command | seen | issue"));
      assertThrows(MalformedKnownRedException.class, list::requireThatTestsExist, name);
    }
  }
}
