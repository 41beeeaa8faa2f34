package plumlever.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that all classes and members that the documents name exist. Fails if a rename did not
 * update the documents.
 */
final class DocumentedNamesTest {
  private static final List<Path> DOCUMENTS =
      List.of(
          Path.of("docs/architecture.md"),
          Path.of("docs/design.md"),
          Path.of("docs/sharing.md"),
          Path.of("CONTRIBUTING.md"));

  private static final Path SOURCES = Path.of("src");
  private static final Pattern CODE = Pattern.compile("`([^`]+)`");

  /**
   * Matches names of code in documents: {@code Type}, {@code Type.member} or {@code
   * package.Type.member}.
   */
  private static final Pattern NAME =
      Pattern.compile("(?:[a-z]+\\.)*([A-Z]\\w*[a-z]\\w*)(?:\\.(\\w+))?(?:\\(\\))?");

  private static final Pattern TYPE =
      Pattern.compile("\\b(?:class|interface|enum|record) ([A-Z]\\w*)");

  /** The text of the files that declare a type, by the simple name of the type. */
  private final Map<String, String> textByType = new HashMap<>();

  private DocumentedNamesTest() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String text = Files.readString(file);
        Matcher types = TYPE.matcher(text);
        while (types.find()) {
          textByType.merge(types.group(1), text, String::concat);
        }
      }
    }
  }

  private boolean exists(String name) {
    Matcher matcher = NAME.matcher(name);
    if (!matcher.matches()) {
      return true;
    }
    String text = textByType.get(matcher.group(1));
    String member = matcher.group(2);
    return text != null
        && (member == null || Pattern.compile("\\b" + member + "\\b").matcher(text).find());
  }

  @Test
  void namesInDocumentsExist() throws IOException {
    Set<String> unknown = new TreeSet<>();
    for (Path document : DOCUMENTS) {
      Matcher code = CODE.matcher(Files.readString(document));
      while (code.find()) {
        if (!exists(code.group(1))) {
          unknown.add(document + ": " + code.group(1));
        }
      }
    }
    assertEquals(Set.of(), unknown);
  }

  @Test
  void detectsNamesThatDoNotExist() {
    assertFalse(exists("NoSuchType"));
    assertFalse(exists("fleet.Machine.noSuchMember"));
    assertTrue(exists("fleet.Machine.tokens"));
    assertTrue(exists("office/leader"), "code that is not a type name must be ignored");
  }
}
