package plumlever.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestTemplate;
import org.junit.platform.commons.support.AnnotationSupport;

/**
 * The list of known failing tests. Each line has the form {@code CLASS#METHOD | COMMAND AND SEED |
 * WHAT WAS SEEN | ISSUE}. Blank lines and lines that begin with {@code #} are ignored.
 */
final class KnownRedList {
  /** The path of the list, relative to the repository root, in which tests run. */
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /**
   * The maximum number of entries. If more tests are known to fail, faults must be fixed before
   * other changes are merged.
   */
  static final int MAX_ENTRIES = 3;

  private static final String LINE_FORMAT =
      "CLASS#METHOD | COMMAND AND SEED | WHAT WAS SEEN | ISSUE";
  private static final int FIELD_COUNT = 4;

  private final List<KnownRedEntry> entries;

  private KnownRedList(List<KnownRedEntry> entries) {
    this.entries = entries;
  }

  /** Reads the list from the file; the list is empty if the file does not exist. */
  static KnownRedList read(Path file) {
    if (!Files.exists(file)) {
      return new KnownRedList(List.of());
    }
    try {
      return parse(Files.readAllLines(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses the lines of the list.
   *
   * @throws MalformedKnownRedException if a line is malformed, or there are more than {@link
   *     #MAX_ENTRIES} entries
   */
  static KnownRedList parse(List<String> lines) {
    List<KnownRedEntry> entries = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        entries.add(entry(line));
      }
    }
    if (entries.size() > MAX_ENTRIES) {
      throw new MalformedKnownRedException(
          FILE
              + ": "
              + entries.size()
              + " tests are listed, but at most "
              + MAX_ENTRIES
              + " are allowed");
    }
    return new KnownRedList(List.copyOf(entries));
  }

  private static KnownRedEntry entry(String line) {
    String[] parts = line.split("\\|", -1);
    String[] test = parts[0].strip().split("#", -1);
    boolean complete =
        parts.length == FIELD_COUNT
            && test.length == 2
            && Arrays.stream(parts).noneMatch(String::isBlank)
            && Arrays.stream(test).noneMatch(String::isBlank);
    if (!complete) {
      throw new MalformedKnownRedException(FILE + ": expected " + LINE_FORMAT + ": " + line);
    }
    return new KnownRedEntry(
        test[0], test[1], parts[1].strip(), parts[2].strip(), parts[3].strip());
  }

  List<KnownRedEntry> entries() {
    return entries;
  }

  /** Returns the entry of the test; empty if the test is not listed. */
  Optional<KnownRedEntry> entryOf(Class<?> testClass, Method method) {
    return entries.stream()
        .filter(entry -> entry.testClass().equals(testClass.getName()))
        .filter(entry -> entry.method().equals(method.getName()))
        .findFirst();
  }

  /**
   * Checks that each entry names an existing test.
   *
   * @throws MalformedKnownRedException if an entry names no existing test
   */
  void requireThatTestsExist() {
    for (KnownRedEntry entry : entries) {
      if (!namesExistingTest(entry)) {
        throw new MalformedKnownRedException(FILE + ": no such test: " + entry.line());
      }
    }
  }

  private static boolean namesExistingTest(KnownRedEntry entry) {
    try {
      Class<?> type = Class.forName(entry.testClass(), false, KnownRedList.class.getClassLoader());
      return Arrays.stream(type.getDeclaredMethods())
          .filter(method -> method.getName().equals(entry.method()))
          .anyMatch(KnownRedList::isTest);
    } catch (ClassNotFoundException e) {
      return false;
    }
  }

  private static boolean isTest(Method method) {
    return AnnotationSupport.isAnnotated(method, Test.class)
        || AnnotationSupport.isAnnotated(method, TestTemplate.class);
  }
}
