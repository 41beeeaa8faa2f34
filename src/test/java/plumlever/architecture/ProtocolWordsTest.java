package plumlever.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that protocol words for which the field has established terms occur only in codecs, as
 * names on the wire or in the state service. All other identifiers, comments, log lines and tests
 * must use the established terms.
 */
final class ProtocolWordsTest {
  private static final Path SOURCES = Path.of("src");

  private static final List<String> WORDS =
      List.of(
          "baton", "bundle", "flavor", "foreman", "grant", "halt", "hello", "loaner", "permit",
          "piece", "reap", "site", "tenure", "touch", "urgency");

  /**
   * Files that may contain the words from {@link #WORDS}, because they encode or decode messages
   * and records: codecs, emulators of other services and workers, and tests of encoded messages.
   */
  private static final Set<String> CODECS =
      Set.of(
          "main/java/plumlever/cli/ArchiveTrainingRun.java",
          "main/java/plumlever/drill/CloudEmulator.java",
          "main/java/plumlever/drill/JobShape.java",
          "main/java/plumlever/drill/StateServiceEmulator.java",
          "main/java/plumlever/drill/WorkerEmulator.java",
          "main/java/plumlever/settings/OperatorKey.java",
          "main/java/plumlever/sharing/TransferRecord.java",
          "main/java/plumlever/store/StateProtocol.java",
          "main/java/plumlever/warmup/InMemoryMachines.java",
          "main/java/plumlever/warmup/InMemoryStateService.java",
          "main/java/plumlever/warmup/WarmUpServices.java",
          "main/java/plumlever/wire/ProtocolField.java",
          "main/java/plumlever/wire/ProtocolPath.java",
          "main/java/plumlever/wire/WorkerCommand.java",
          "test/java/plumlever/architecture/ProtocolWordsTest.java",
          "test/java/plumlever/cloud/CloudClientTest.java",
          "test/java/plumlever/lease/LeaseRenewalTest.java",
          "test/java/plumlever/settings/SettingsTest.java",
          "test/java/plumlever/sim/FakeCloud.java",
          "test/java/plumlever/sim/FakeStore.java",
          "test/java/plumlever/sim/FakeWorker.java",
          "test/java/plumlever/sim/FaultTest.java",
          "test/java/plumlever/sim/FormatSamplesTest.java",
          "test/java/plumlever/sim/UsersTest.java",
          "test/java/plumlever/wire/WireTest.java");

  /**
   * Files outside the codecs that still use a word from {@link #WORDS} instead of the established
   * term. Do not add files.
   */
  private static final Set<String> PENDING_FILES = Set.of();

  private static final Pattern PROTOCOL_WORD = pattern();

  /**
   * Returns a pattern that finds a word from {@link #WORDS} by itself, in a constant name, or as
   * part of a camel-case name.
   */
  private static Pattern pattern() {
    String lower = String.join("|", WORDS);
    String capitalized =
        WORDS.stream()
            .map(word -> Character.toUpperCase(word.charAt(0)) + word.substring(1))
            .collect(Collectors.joining("|"));
    String upper = lower.toUpperCase(Locale.ROOT);
    return Pattern.compile(
        "(?<![A-Za-z])(?:%s|%s|%s)[sS]?(?![A-Za-z])".formatted(lower, capitalized, upper)
            + "|(?<=[a-z])(?:%s)s?(?![a-z])".formatted(capitalized)
            + "|(?<![A-Za-z])(?:%s)s?(?=[A-Z])".formatted(lower));
  }

  /**
   * Returns true if the line contains a word from {@link #WORDS} other than in the keyword {@code
   * permits} of sealed types.
   */
  private static boolean containsProtocolWord(String line) {
    return PROTOCOL_WORD.matcher(line.replaceAll("\\bpermits (?=[A-Z])", "")).find();
  }

  private static Set<String> filesWithProtocolWords() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(ProtocolWordsTest::fileContainsProtocolWord)
          .map(file -> SOURCES.relativize(file).toString().replace('\\', '/'))
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  private static boolean fileContainsProtocolWord(Path file) {
    try (Stream<String> lines = Files.lines(file)) {
      return lines.anyMatch(ProtocolWordsTest::containsProtocolWord);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void protocolWordsOccurOnlyInCodecs() throws IOException {
    Set<String> found = filesWithProtocolWords();
    found.removeAll(CODECS);
    assertEquals(new TreeSet<>(PENDING_FILES), found);
  }

  @Test
  void everyListedCodecContainsAProtocolWord() throws IOException {
    Set<String> unneeded = new TreeSet<>(CODECS);
    unneeded.removeAll(filesWithProtocolWords());
    assertEquals(Set.of(), unneeded);
  }

  @Test
  void detectsProtocolWordsInNamesAndText() {
    for (String line :
        List.of(
            "long tenure;", "// a flavor", "lastPermit", "MAX_PIECES", "haltAll()", "\"site\"")) {
      assertTrue(containsProtocolWord(line), line);
    }
  }

  @Test
  void ignoresOtherWords() {
    for (String line :
        List.of("opposite", "sealed interface A permits B", "granted by nobody", "composite")) {
      assertFalse(containsProtocolWord(line), line);
    }
  }
}
