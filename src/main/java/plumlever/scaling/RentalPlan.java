package plumlever.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import plumlever.cloud.PriceBook;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** What to rent for tasks that no machine, here or coming, can start in time. Pure. */
public final class RentalPlan {
  /** Tasks of one job that wait for a machine. */
  public record Demand(JobSpec job, String zone, int tasks, long runMicros) {}

  /** A kind of machine the cloud may have. */
  public record RentalOption(String machineType, String zone, boolean spot) {
    // Written out for the same reason as in Endpoint: a new leader asks for it in its first
    // moments.
    @Override
    public boolean equals(Object object) {
      return object instanceof RentalOption kind
          && kind.spot == spot
          && kind.machineType.equals(machineType)
          && kind.zone.equals(zone);
    }

    @Override
    public int hashCode() {
      return (machineType.hashCode() * 31 + zone.hashCode()) * 2 + (spot ? 1 : 0);
    }
  }

  /** How many machines of a kind to rent. */
  public record RentalRequest(RentalOption option, int count) {}

  /** Room on a machine that is coming up. */
  public static final class IncomingMachine {
    private final RentalOption kind;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** A machine of this kind with all its room. */
    public IncomingMachine(RentalOption kind, MachineType machineType) {
      this.kind = kind;
      this.cores = machineType.cores();
      this.accelerators = machineType.accelerators();
      this.memoryGb = machineType.memoryGb();
    }

    private int take(JobSpec job, int most) {
      int count = most;
      if (job.cores() > 0) {
        count = Math.min(count, (int) (cores / job.cores() + 1e-9));
      }
      if (job.memoryGb() > 0) {
        count = Math.min(count, (int) (memoryGb / job.memoryGb() + 1e-9));
      }
      if (job.accelerators() > 0) {
        count = Math.min(count, (int) (accelerators / job.accelerators() + 1e-9));
      }
      cores -= count * job.cores();
      memoryGb -= count * job.memoryGb();
      accelerators -= count * job.accelerators();
      return count;
    }
  }

  /**
   * How much dearer a kind may seem for what is rented of it at the same time, and how many
   * machines make half of that.
   */
  private static final double SPREAD = 0.3;

  private static final int SPREAD_HALF = 30;

  private final PriceBook prices;
  private final boolean moneyMatters;

  public RentalPlan(PriceBook prices, boolean moneyMatters) {
    this.prices = prices;
    this.moneyMatters = moneyMatters;
  }

  /**
   * @param demands the most urgent first
   * @param coming machines that are booting; their room is used up
   * @param available false for kinds of which the cloud had none lately
   */
  public List<RentalRequest> plan(
      List<Demand> demands,
      List<IncomingMachine> coming,
      Predicate<RentalOption> available,
      int mostMachines) {
    Map<RentalOption, Integer> rent = new HashMap<>();
    List<IncomingMachine> fresh = new ArrayList<>(coming);
    int total = 0;
    for (Demand demand : demands) {
      int steppedDown = demand.tasks();
      for (IncomingMachine otherComing : fresh) {
        if (steppedDown > 0 && allowed(demand, otherComing.kind)) {
          steppedDown -= otherComing.take(demand.job(), steppedDown);
        }
      }
      while (steppedDown > 0 && total < mostMachines) {
        RentalOption kind = cheapest(demand, steppedDown, available, rent);
        if (kind == null) {
          break;
        }
        IncomingMachine otherComing =
            new IncomingMachine(kind, prices.machineType(kind.machineType));
        int got = otherComing.take(demand.job(), steppedDown);
        if (got == 0) {
          break;
        }
        steppedDown -= got;
        fresh.add(otherComing);
        rent.merge(kind, 1, Integer::sum);
        total++;
      }
    }
    List<RentalRequest> out = new ArrayList<>();
    rent.forEach((k, n) -> out.add(new RentalRequest(k, n)));
    return out;
  }

  private static boolean allowed(Demand demand, RentalOption kind) {
    return demand.job().allows(kind.machineType, kind.zone, kind.spot)
        && (demand.zone() == null || demand.zone().equals(kind.zone));
  }

  /**
   * The least cost for each task served; a machine too large for what is left costs its whole
   * price.
   */
  private RentalOption cheapest(
      Demand demand,
      int steppedDown,
      Predicate<RentalOption> available,
      Map<RentalOption, Integer> planned) {
    RentalOption best = null;
    double least = Double.MAX_VALUE;
    for (MachineType machineType : prices.machineTypes()) {
      double share = machineType.share(demand.job());
      if (share > 1 + 1e-9) {
        continue;
      }
      for (String zone : machineType.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          RentalOption kind = new RentalOption(machineType.name(), zone, spot);
          if (!allowed(demand, kind) || !available.test(kind)) {
            continue;
          }
          int tasks = Math.max(1, Math.min(steppedDown, (int) (1 / Math.max(share, 1e-6) + 1e-9)));
          double cost = prices.hourly(machineType, spot) / tasks;
          if (!moneyMatters) {
            cost *= 1 + machineType.startupS() / 300;
          }
          // Spreads requests over zones, so that one zone's trouble or shortage takes less at once.
          cost *=
              1
                  + SPREAD
                      * planned.getOrDefault(kind, 0)
                      / (SPREAD_HALF + planned.getOrDefault(kind, 0));
          if (cost < least) {
            least = cost;
            best = kind;
          }
        }
      }
    }
    return best;
  }
}
