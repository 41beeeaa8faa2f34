package plumlever.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks which packages of the project each package uses. */
final class PackageDependenciesTest {
  private static final String ROOT = "plumlever";

  /** The packages that each package may use. Do not add entries to the lists, only remove them. */
  private static final Map<String, List<String>> ALLOWED_DEPENDENCIES =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry(
                  "",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "http",
                      "leader",
                      "leader.context",
                      "lease",
                      "metrics",
                      "peer",
                      "settings",
                      "sharing",
                      "store")),
              Map.entry(
                  "cli",
                  List.of(
                      "", "concurrent", "http", "metrics", "drill", "settings", "warmup", "wire")),
              Map.entry(
                  "cloud", List.of("concurrent", "http", "metrics", "settings", "store", "wire")),
              Map.entry("concurrent", List.of()),
              Map.entry(
                  "election",
                  List.of("concurrent", "lease", "metrics", "settings", "store", "wire")),
              Map.entry("fleet", List.of("wire")),
              Map.entry(
                  "http",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "leader",
                      "lease",
                      "metrics",
                      "settings",
                      "store",
                      "wire")),
              Map.entry(
                  "leader",
                  List.of(
                      "concurrent",
                      "election",
                      "fleet",
                      "http",
                      "leader.context",
                      "leader.failover",
                      "leader.heartbeat",
                      "leader.job",
                      "leader.machine",
                      "leader.pool",
                      "leader.progress",
                      "leader.record",
                      "leader.scheduling",
                      "lease",
                      "metrics",
                      "settings",
                      "sharing",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.context",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "http",
                      "lease",
                      "metrics",
                      "scaling",
                      "settings",
                      "sharing",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.failover",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "leader.context",
                      "metrics",
                      "settings",
                      "sharing",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.heartbeat",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "http",
                      "leader.context",
                      "leader.failover",
                      "leader.job",
                      "leader.progress",
                      "lease",
                      "metrics",
                      "settings",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.job",
                  List.of(
                      "concurrent",
                      "election",
                      "fleet",
                      "leader.context",
                      "leader.record",
                      "lease",
                      "metrics",
                      "settings",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.machine",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "leader.context",
                      "leader.failover",
                      "leader.heartbeat",
                      "leader.record",
                      "leader.scheduling",
                      "metrics",
                      "scaling",
                      "settings",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.pool",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "http",
                      "leader.context",
                      "leader.failover",
                      "leader.heartbeat",
                      "leader.job",
                      "leader.machine",
                      "leader.scheduling",
                      "lease",
                      "metrics",
                      "scaling",
                      "settings",
                      "sharing",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.progress",
                  List.of(
                      "concurrent",
                      "election",
                      "fleet",
                      "leader.context",
                      "leader.job",
                      "metrics",
                      "settings",
                      "store",
                      "wire")),
              Map.entry(
                  "leader.record",
                  List.of("concurrent", "election", "fleet", "leader.context", "sharing", "store")),
              Map.entry(
                  "leader.scheduling",
                  List.of(
                      "cloud",
                      "concurrent",
                      "election",
                      "fleet",
                      "http",
                      "leader.context",
                      "leader.failover",
                      "leader.heartbeat",
                      "leader.job",
                      "metrics",
                      "placement",
                      "scaling",
                      "settings",
                      "sharing",
                      "wire")),
              Map.entry("lease", List.of("fleet", "settings", "wire")),
              Map.entry("metrics", List.of()),
              Map.entry("peer", List.of("concurrent", "http", "settings", "wire")),
              Map.entry("placement", List.of()),
              Map.entry("drill", List.of("concurrent", "http", "settings", "sharing", "wire")),
              Map.entry("scaling", List.of("cloud", "wire")),
              Map.entry("settings", List.of()),
              Map.entry("sharing", List.of("wire")),
              Map.entry(
                  "store", List.of("concurrent", "fleet", "http", "metrics", "settings", "wire")),
              Map.entry("warmup", List.of("", "concurrent", "http", "settings", "wire")),
              Map.entry("wire", List.of())));

  /** Packages whose results depend only on arguments: without I/O, threads or a clock. */
  private static final List<String> PURE_PACKAGES = List.of("placement", "scaling", "fleet");

  private static JavaClasses project() {
    return new ClassFileImporter()
        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
        .importPackages(ROOT);
  }

  @Test
  void packagesUseOnlyAllowedPackages() {
    List<String> violations = new ArrayList<>();
    for (JavaClass user : project()) {
      String from = packageNameOf(user);
      user.getDirectDependenciesFromSelf().stream()
          .map(dependency -> dependency.getTargetClass().getBaseComponentType())
          .filter(PackageDependenciesTest::isInProject)
          .map(PackageDependenciesTest::packageNameOf)
          .filter(to -> !to.equals(from) && !ALLOWED_DEPENDENCIES.get(from).contains(to))
          .forEach(to -> violations.add(user.getSimpleName() + " of " + from + " uses " + to));
    }
    assertEquals(new TreeSet<>(), new TreeSet<>(violations));
  }

  private static boolean isInProject(JavaClass type) {
    return type.getPackageName().equals(ROOT) || type.getPackageName().startsWith(ROOT + ".");
  }

  private static String packageNameOf(JavaClass type) {
    String name = type.getPackageName();
    return name.equals(ROOT) ? "" : name.substring(ROOT.length() + 1);
  }

  /** Without cycles, each package of the leader can be read without the packages that use it. */
  @Test
  void leaderPackagesAreFreeOfCycles() {
    slices().matching(ROOT + ".leader.(*)..").should().beFreeOfCycles().check(project());
  }

  private static ArchRule purityRule(String name) {
    return classes()
        .that()
        .resideInAPackage(ROOT + "." + name)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            ROOT + "." + name,
            ROOT + ".wire",
            ROOT + ".cloud",
            "java.lang..",
            "java.util",
            "java.util.function",
            "java.util.stream",
            "org.agrona..");
  }

  @Test
  void purePackagesUseOnlyPureCode() {
    PURE_PACKAGES.forEach(name -> purityRule(name).check(project()));
  }

  /** Shows that the purity check can fail: the leader package does I/O. */
  @Test
  void purityCheckFailsForTheLeaderPackage() {
    assertThrows(AssertionError.class, () -> purityRule("leader").check(project()));
  }
}
