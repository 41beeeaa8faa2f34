package plumlever.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How the machines of one pool are shared among cells, from the {@code sharing} table of the
 * operators' file. A cell is a group of controllers with a leader, jobs and keys of its own; all
 * cells of a pool use one state service and one cloud.
 *
 * @param maxMachines how many machines the pool has at most
 * @param maxTransfers how many transfers one cell may have open at a time
 * @param adoptAfterMicros a cell that has had no leader for so long loses its machines to the
 *     others
 * @param ownCell the cell of this controller
 * @param digest a hash, which is the same for controllers with the same table
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
   * @param controllers the labels of its controllers
   * @param minMachines how many machines it always keeps
   * @param weight its part of the machines beyond what the cells always keep, against the others'
   *     weights
   */
  public record Cell(
      String name, String prefix, Set<String> controllers, int minMachines, double weight) {}

  /** How many changes a transaction of the state service must allow for a transfer. */
  public static final int MIN_TRANSACTION_OPS = 5;

  /** The cell of that name. */
  public Cell cell(String name) {
    return cells.stream().filter(cell -> cell.name().equals(name)).findFirst().orElseThrow();
  }

  /** All cells but this controller's. */
  public List<Cell> otherCells() {
    return cells.stream().filter(cell -> !cell.name().equals(ownCell.name())).toList();
  }

  /**
   * Reads the table and checks it against the controllers of the deployment.
   *
   * @param file to name in errors
   */
  static SharingSettings read(String file, Map<?, ?> table, PlatformConfiguration platform)
      throws SettingsException {
    return new SharingTable(file, platform).read(table);
  }
}
