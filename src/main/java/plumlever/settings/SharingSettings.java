package plumlever.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * How the machines of one pool are shared among cells, from the {@code sharing} table of the
 * operators' file. A cell is a group of controllers with a leader, jobs and keys of its own; all
 * cells of a pool use one state service and one cloud.
 *
 * @param machines how many machines the pool has at most
 * @param mostMoving transfers that one cell may have under way at a time
 * @param adoptAfterMicros a cell that has had no leader for so long loses its machines to the
 *     others
 * @param own the cell of this controller
 * @param digest the same for controllers with the same table
 */
public record SharingSettings(
    int maxMachines,
    int maxTransfers,
    long adoptAfterMicros,
    List<Cell> cells,
    Cell ownCell,
    String digest) {

  /**
   * One cell.
   *
   * @param prefix of its keys in the state service
   * @param floor machines that it never gives away
   * @param weight its part of the machines above all floors, against the others' weights
   */
  public record Cell(
      String name, String prefix, Set<String> controllers, int minMachines, double weight) {}

  private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]{0,30}");
  private static final Pattern PREFIX = Pattern.compile("[a-z][a-z0-9-]{0,30}/");

  /** Prefixes that a cell without one of its own uses, and the pool's own. */
  private static final List<String> TAKEN =
      List.of(
          "pool/",
          "office/",
          "active/",
          "ended/",
          "progress/",
          "fleet/",
          "begun/",
          "hints/",
          "waits/",
          "catalog/");

  private static final int DEFAULT_MOVING = 8;
  private static final double DEFAULT_ADOPT_S = 600;
  private static final double LEAST_ADOPT_S = 60;
  private static final double MOST_ADOPT_S = 1e6;
  private static final int MOST_MACHINES = 1_000_000;

  /** The cell of that name. */
  public Cell cell(String name) {
    return cells.stream().filter(cell -> cell.name().equals(name)).findFirst().orElseThrow();
  }

  /** All cells but this controller's. */
  public List<Cell> otherCells() {
    return cells.stream().filter(cell -> !cell.name().equals(ownCell.name())).toList();
  }

  /** True if the state service's limits leave room for the transactions of a transfer. */
  public static final int MIN_TRANSACTION_OPS = 5;

  /**
   * Reads the table and checks it against the controllers of the deployment.
   *
   * @param file to name in errors
   */
  static SharingSettings read(String file, Map<?, ?> table, PlatformConfiguration platform)
      throws SettingsException {
    return new Reader(file, platform).read(table);
  }

  /** Reads and checks one table. */
  private static final class Reader {
    private final String file;
    private final PlatformConfiguration platform;
    private final Set<String> controllers = new HashSet<>();

    Reader(String file, PlatformConfiguration platform) {
      this.file = file;
      this.platform = platform;
      controllers.add(platform.label());
      platform.peers().forEach(seed -> controllers.add(seed.label()));
    }

    private SettingsException wrong(String key, String reason) {
      return new SettingsException(file + ": sharing." + key + " " + reason);
    }

    SharingSettings read(Map<?, ?> table) throws SettingsException {
      refuseUnknown(table, "", Set.of("machines", "most_moving", "adopt_after_s", "cells"));
      int maxMachines = (int) number(table, "", "machines", 1, MOST_MACHINES, -1);
      List<Cell> cells = cells(table);
      int floors = cells.stream().mapToInt(Cell::minMachines).sum();
      if (floors > maxMachines) {
        throw wrong("cells", "have floors of " + floors + " machines, the pool has " + maxMachines);
      }
      if (platform.stateLimits().transactionOps() < MIN_TRANSACTION_OPS) {
        throw wrong(
            "cells", "need " + MIN_TRANSACTION_OPS + " changes a transaction of the state service");
      }
      Cell ownCell =
          cells.stream()
              .filter(cell -> cell.controllers().contains(platform.label()))
              .findFirst()
              .orElseThrow();
      int moving = (int) number(table, "", "most_moving", 1, 1_000, DEFAULT_MOVING);
      double adoptS =
          number(table, "", "adopt_after_s", LEAST_ADOPT_S, MOST_ADOPT_S, DEFAULT_ADOPT_S);
      return new SharingSettings(
          maxMachines,
          moving,
          (long) (adoptS * 1e6),
          cells,
          ownCell,
          digest(maxMachines, moving, cells));
    }

    private List<Cell> cells(Map<?, ?> table) throws SettingsException {
      if (!(table.get("cells") instanceof List<?> list) || list.isEmpty()) {
        throw wrong("cells", "must be a list of cells");
      }
      List<Cell> cells = new ArrayList<>();
      Map<String, String> cellOf = new LinkedHashMap<>();
      Set<String> names = new HashSet<>();
      for (int i = 0; i < list.size(); i++) {
        String at = "cells[" + i + "].";
        if (!(list.get(i) instanceof Map<?, ?> entry)) {
          throw wrong("cells[" + i + "]", "must be a table");
        }
        Cell cell = cell(entry, at, cellOf);
        if (!names.add(cell.name())) {
          throw wrong(at + "name", "is used twice: " + cell.name());
        }
        checkPrefix(cell, cells, at);
        cells.add(cell);
      }
      for (String controller : controllers) {
        if (!cellOf.containsKey(controller)) {
          throw wrong("cells", "name no cell for controller " + controller);
        }
      }
      return List.copyOf(cells);
    }

    private Cell cell(Map<?, ?> entry, String at, Map<String, String> cellOf)
        throws SettingsException {
      refuseUnknown(entry, at, Set.of("name", "controllers", "floor", "weight", "prefix"));
      if (!(entry.get("name") instanceof String name) || !NAME.matcher(name).matches()) {
        throw wrong(at + "name", "must be a name of small letters, digits and hyphens");
      }
      if (!(entry.get("controllers") instanceof List<?> members) || members.isEmpty()) {
        throw wrong(at + "controllers", "must be a list of controllers");
      }
      Set<String> labels = new LinkedHashSet<>();
      for (Object member : members) {
        String label = String.valueOf(member);
        if (!controllers.contains(label)) {
          throw wrong(at + "controllers", "names " + label + ", which this deployment has not");
        }
        String before = cellOf.putIfAbsent(label, name);
        if (before != null) {
          throw wrong(at + "controllers", "names " + label + ", which is in " + before + " too");
        }
        labels.add(label);
      }
      Object prefix = entry.get("prefix");
      return new Cell(
          name,
          prefix == null ? name + "/" : String.valueOf(prefix),
          Set.copyOf(labels),
          (int) number(entry, at, "floor", 0, MOST_MACHINES, 0),
          weight(entry, at));
    }

    private double weight(Map<?, ?> entry, String at) throws SettingsException {
      Object weight = entry.get("weight");
      if (weight == null) {
        return 1;
      }
      if (!(weight instanceof Number number)
          || !(number.doubleValue() > 0 && number.doubleValue() < 1e6)) {
        throw wrong(at + "weight", "must be a number above 0");
      }
      return number.doubleValue();
    }

    private void checkPrefix(Cell cell, List<Cell> before, String at) throws SettingsException {
      if (!cell.prefix().isEmpty() && !PREFIX.matcher(cell.prefix()).matches()) {
        throw wrong(
            at + "prefix", "must be empty, or small letters, digits and hyphens with a slash");
      }
      if (TAKEN.contains(cell.prefix())) {
        throw wrong(at + "prefix", "collides with the service's own keys: " + cell.prefix());
      }
      for (Cell other : before) {
        if (other.prefix().equals(cell.prefix())) {
          throw wrong(at + "prefix", "collides with that of " + other.name());
        }
      }
    }

    private void refuseUnknown(Map<?, ?> table, String at, Set<String> known)
        throws SettingsException {
      for (Object key : table.keySet()) {
        if (!known.contains(String.valueOf(key))) {
          throw wrong(at + key, "is unknown");
        }
      }
    }

    /**
     * @param otherwise what holds where nothing is said; below {@code least}: it must be said
     */
    private double number(
        Map<?, ?> table, String at, String key, double least, double most, double otherwise)
        throws SettingsException {
      Object value = table.get(key);
      if (value == null && otherwise >= least) {
        return otherwise;
      }
      if (!(value instanceof Number number)
          || !(number.doubleValue() >= least && number.doubleValue() <= most)) {
        throw wrong(at + key, "must be a number from " + (long) least + " to " + (long) most);
      }
      return number.doubleValue();
    }

    private static String digest(int maxMachines, int moving, List<Cell> cells) {
      StringBuilder text = new StringBuilder().append(maxMachines).append(' ').append(moving);
      for (Cell cell : cells) {
        text.append('\n').append(cell.name()).append(' ').append(cell.prefix());
        text.append(' ').append(cell.minMachines()).append(' ').append(cell.weight());
        cell.controllers().stream().sorted().forEach(label -> text.append(' ').append(label));
      }
      try {
        byte[] hash =
            MessageDigest.getInstance("SHA-256")
                .digest(text.toString().getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(hash, 0, 8);
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException("every Java has SHA-256", e);
      }
    }
  }
}
