package plumlever.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How many machines move from which cell to which. A cell that lacks machines is first given what
 * others can do without; where that is not enough, and it has less than its share by weight, those
 * above their share give further ones with their tasks running. Nobody goes below its floor, and
 * nobody gives what it lacks itself below its share.
 *
 * <p>The same input gives the same decision, whoever works it out.
 */
public final class SharePolicy {
  /**
   * A cell as the policy sees it.
   *
   * @param machines that it owns
   * @param idle of these, machines that it can do without
   * @param wanted machines that it lacks
   */
  public record CellState(
      String name, int floor, double weight, int machines, int idle, int wanted) {}

  /** So many machines are to go from one cell to another. */
  public record Move(String from, String to, int machines) {}

  /** Part of its share by which a cell must be above it before it gives machines in use. */
  private static final double HYSTERESIS = 0.1;

  private SharePolicy() {}

  /** Machines of the pool that the cell's floor and weight entitle it to. */
  static double shareOf(CellState cell, List<CellState> cells) {
    int all = cells.stream().mapToInt(CellState::machines).sum();
    int floors = cells.stream().mapToInt(CellState::floor).sum();
    double weights = cells.stream().mapToDouble(CellState::weight).sum();
    return cell.floor() + Math.max(0, all - floors) * cell.weight() / weights;
  }

  /** A cell with what the decisions so far leave it. */
  private static final class Open {
    private final CellState cell;
    private final double share;
    private int machines;
    private int idle;
    private int wanted;

    Open(CellState cell, List<CellState> cells) {
      this.cell = cell;
      this.share = shareOf(cell, cells);
      this.machines = cell.machines();
      this.idle = cell.idle();
      this.wanted = cell.wanted();
    }

    double shortOfShare() {
      return share - machines;
    }

    boolean mayGiveIdle() {
      return idle > 0 && machines > cell.floor();
    }

    boolean mayGiveUsed() {
      return machines - 1 >= Math.max(cell.floor(), share) && machines - share > HYSTERESIS * share;
    }
  }

  /**
   * The moves that are due now.
   *
   * @param most machines that one cell gives at a time
   */
  public static List<Move> plan(List<CellState> cells, int most) {
    List<Open> open = new ArrayList<>();
    cells.stream()
        .sorted(Comparator.comparing(CellState::name))
        .forEach(cell -> open.add(new Open(cell, cells)));
    List<Open> takers = new ArrayList<>(open);
    takers.sort(
        Comparator.comparingDouble(Open::shortOfShare)
            .reversed()
            .thenComparing(taker -> taker.cell.name()));
    List<Move> moves = new ArrayList<>();
    for (Open taker : takers) {
      for (Open giver : open) {
        if (giver != taker) {
          int count = give(giver, taker, most);
          if (count > 0) {
            moves.add(new Move(giver.cell.name(), taker.cell.name(), count));
          }
        }
      }
    }
    return moves;
  }

  private static int give(Open giver, Open taker, int most) {
    int count = 0;
    while (count < most && taker.wanted > 0) {
      if (giver.mayGiveIdle()) {
        giver.idle--;
      } else if (!(taker.machines < taker.share && giver.mayGiveUsed())) {
        break;
      }
      giver.machines--;
      taker.machines++;
      taker.wanted--;
      count++;
    }
    return count;
  }
}
