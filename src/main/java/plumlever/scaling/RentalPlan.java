package plumlever.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import plumlever.cloud.PriceBook;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/** What to rent for tasks that no machine, up or coming up, can start in time. Pure. */
public final class RentalPlan {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Keeps the number of tasks that a machine holds finite where they take next to nothing. */
  private static final double MIN_SHARE = 1e-6;

  /** Where only speed matters, a machine that comes up in this time seems twice as dear. */
  private static final double STARTUP_S_DOUBLING_COST = 300;

  /** How much dearer an option may seem for what is rented of it at the same time. */
  private static final double MAX_CROWDING_SURCHARGE = 0.3;

  /** How many machines of an option make half of that surcharge. */
  private static final int MACHINES_FOR_HALF_SURCHARGE = 30;

  private final PriceBook prices;
  private final boolean moneyMatters;

  /**
   * Plans by these prices.
   *
   * @param moneyMatters false where only speed matters, so that slow starts seem dearer
   */
  public RentalPlan(PriceBook prices, boolean moneyMatters) {
    this.prices = prices;
    this.moneyMatters = moneyMatters;
  }

  /**
   * Tasks of one job that wait for a machine.
   *
   * @param boundZone where they have to run; empty for any zone that the job allows
   * @param runMicros run time of each on a machine of nominal speed
   */
  public record Demand(JobSpec job, Optional<String> boundZone, int tasks, long runMicros) {
    private boolean allows(RentalOption option) {
      return job.allows(option.machineType, option.zone, option.spot)
          && (boundZone.isEmpty() || boundZone.get().equals(option.zone));
    }
  }

  /** What can be rented: a machine type in a zone, as a spot machine or not. */
  public record RentalOption(String machineType, String zone, boolean spot) {
    // Written out: the generated ones link method handles at their first use, which a new leader
    // can't afford in its first moments.
    @Override
    public boolean equals(Object object) {
      return object instanceof RentalOption option
          && option.spot == spot
          && option.machineType.equals(machineType)
          && option.zone.equals(zone);
    }

    @Override
    public int hashCode() {
      return (machineType.hashCode() * 31 + zone.hashCode()) * 2 + (spot ? 1 : 0);
    }
  }

  /** How many machines of an option to rent. */
  public record RentalRequest(RentalOption option, int count) {}

  /** A machine that is coming up, or to be rented, and what is free of it. */
  public static final class IncomingMachine {
    private final RentalOption option;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** A machine of this option with all its capacity free. */
    public IncomingMachine(RentalOption option, MachineType machineType) {
      this.option = option;
      this.cores = machineType.cores();
      this.accelerators = machineType.accelerators();
      this.memoryGb = machineType.memoryGb();
    }

    /** Reserves capacity for at most so many tasks of the job; returns for how many. */
    private int reserve(JobSpec job, int maxTasks) {
      int tasks = maxTasks;
      tasks = Math.min(tasks, tasksWithin(cores, job.cores()));
      tasks = Math.min(tasks, tasksWithin(memoryGb, job.memoryGb()));
      tasks = Math.min(tasks, tasksWithin(accelerators, job.accelerators()));
      cores -= tasks * job.cores();
      memoryGb -= tasks * job.memoryGb();
      accelerators -= tasks * job.accelerators();
      return tasks;
    }

    private static int tasksWithin(double free, double perTask) {
      return perTask > 0 ? (int) (free / perTask + ROUNDING_TOLERANCE) : Integer.MAX_VALUE;
    }
  }

  /**
   * Chooses what to rent, the cheapest for each demand in turn.
   *
   * @param demands the most urgent first
   * @param incoming machines that are coming up, which serve demands first; their capacity is used
   *     up
   * @param available false for options of which the cloud had none lately
   * @param maxMachines no more machines than this are chosen
   */
  public List<RentalRequest> plan(
      List<Demand> demands,
      List<IncomingMachine> incoming,
      Predicate<RentalOption> available,
      int maxMachines) {
    Planning planning = new Planning(incoming, available, maxMachines);
    demands.forEach(planning::serve);
    return planning.requests();
  }

  /** One plan as it is made. */
  private final class Planning {
    private final List<IncomingMachine> machines;
    private final Predicate<RentalOption> available;
    private final Map<RentalOption, Integer> countByOption = new HashMap<>();
    private int machinesLeft;

    Planning(List<IncomingMachine> incoming, Predicate<RentalOption> available, int maxMachines) {
      this.machines = new ArrayList<>(incoming);
      this.available = available;
      this.machinesLeft = maxMachines;
    }

    void serve(Demand demand) {
      int tasks = tasksLeftByMachines(demand);
      while (tasks > 0 && machinesLeft > 0) {
        Optional<RentalOption> option = cheapest(demand, tasks);
        int served = option.isPresent() ? rent(option.get(), demand.job, tasks) : 0;
        if (served == 0) {
          return;
        }
        tasks -= served;
      }
    }

    /** The tasks for which no machine that is incoming or to be rented has capacity. */
    private int tasksLeftByMachines(Demand demand) {
      int tasks = demand.tasks;
      for (IncomingMachine machine : machines) {
        if (tasks > 0 && demand.allows(machine.option)) {
          tasks -= machine.reserve(demand.job, tasks);
        }
      }
      return tasks;
    }

    /** Rents one machine; returns how many of the tasks it serves, 0 if none, and it is not. */
    private int rent(RentalOption option, JobSpec job, int tasks) {
      IncomingMachine machine = new IncomingMachine(option, prices.machineType(option.machineType));
      int served = machine.reserve(job, tasks);
      if (served > 0) {
        machines.add(machine);
        countByOption.merge(option, 1, Integer::sum);
        machinesLeft--;
      }
      return served;
    }

    /** The available option of the least cost for each task served. */
    private Optional<RentalOption> cheapest(Demand demand, int tasks) {
      RentalOption best = null;
      double leastCost = Double.MAX_VALUE;
      for (MachineType machineType : prices.machineTypes()) {
        double share = machineType.dominantShare(demand.job);
        if (share > 1 + ROUNDING_TOLERANCE) {
          continue;
        }
        for (RentalOption option : options(machineType)) {
          if (demand.allows(option) && available.test(option)) {
            double cost = costPerTask(machineType, option, share, tasks);
            if (cost < leastCost) {
              leastCost = cost;
              best = option;
            }
          }
        }
      }
      return Optional.ofNullable(best);
    }

    /** A machine too large for the tasks that are left costs them its whole price. */
    private double costPerTask(
        MachineType machineType, RentalOption option, double share, int tasks) {
      int tasksPerMachine = (int) (1 / Math.max(share, MIN_SHARE) + ROUNDING_TOLERANCE);
      int tasksServed = Math.max(1, Math.min(tasks, tasksPerMachine));
      double cost = prices.hourlyPrice(machineType, option.spot) / tasksServed;
      if (!moneyMatters) {
        cost *= 1 + machineType.startupS() / STARTUP_S_DOUBLING_COST;
      }
      return cost * crowdingFactor(option);
    }

    /** Spreads rentals, so that one zone's trouble or shortage takes less at once. */
    private double crowdingFactor(RentalOption option) {
      int count = countByOption.getOrDefault(option, 0);
      return 1 + MAX_CROWDING_SURCHARGE * count / (MACHINES_FOR_HALF_SURCHARGE + count);
    }

    List<RentalRequest> requests() {
      List<RentalRequest> requests = new ArrayList<>();
      countByOption.forEach((option, count) -> requests.add(new RentalRequest(option, count)));
      return requests;
    }
  }

  /** All options of the machine type, spot machines first in each zone. */
  private static List<RentalOption> options(MachineType machineType) {
    List<RentalOption> options = new ArrayList<>();
    for (String zone : machineType.zones()) {
      options.add(new RentalOption(machineType.name(), zone, true));
      options.add(new RentalOption(machineType.name(), zone, false));
    }
    return options;
  }
}
