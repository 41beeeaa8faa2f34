package plumlever.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import plumlever.cloud.MachineTypeCatalog;
import plumlever.wire.JobSpec;
import plumlever.wire.MachineType;

/**
 * Chooses which machines to rent for tasks that no machine of the fleet can start in time. No I/O
 * and no clock.
 */
public final class RentalPlan {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /**
   * Lower bound of a task's dominant share (the largest fraction of any single machine resource).
   * Keeps the number of tasks per machine finite for tasks that need almost no resources.
   */
  private static final double MIN_SHARE = 1e-6;

  /**
   * Startup time in seconds that doubles the compared cost of a rental option if only speed
   * matters.
   */
  private static final double STARTUP_S_DOUBLING_COST = 300;

  /**
   * Maximum fraction by which a rental option's compared cost is raised for machines of the same
   * option that are already in the plan.
   */
  private static final double MAX_CONCENTRATION_SURCHARGE = 0.3;

  /**
   * Number of planned machines of a rental option at which half of the maximum surcharge on its
   * cost applies.
   */
  private static final int MACHINES_FOR_HALF_SURCHARGE = 30;

  private final MachineTypeCatalog typeCatalog;
  private final boolean costMatters;

  /**
   * Creates a planner with the given machine types and prices.
   *
   * @param costMatters false if only speed matters: long startup times then raise an option's cost
   */
  public RentalPlan(MachineTypeCatalog typeCatalog, boolean costMatters) {
    this.typeCatalog = typeCatalog;
    this.costMatters = costMatters;
  }

  /**
   * Tasks of one job that need machines.
   *
   * @param boundZone zone in which the tasks have to run; empty for any zone that the job allows
   * @param runMicros run time of one task on a machine of nominal speed
   */
  public record Demand(JobSpec job, Optional<String> boundZone, int tasks, long runMicros) {
    private boolean allows(RentalOption option) {
      return job.allows(option.machineType, option.zone, option.spot)
          && (boundZone.isEmpty() || boundZone.get().equals(option.zone));
    }
  }

  /** A rental option: a machine type in a zone, as a spot or an on-demand machine. */
  public record RentalOption(String machineType, String zone, boolean spot) {
    // Written by hand because generated record methods link method handles on first use, which
    // would delay the first operations of a new leader.
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

  /** Number of machines to rent of one option. */
  public record PlannedRental(RentalOption option, int count) {}

  /** A machine that is coming up or planned to be rented, with its free resources. */
  public static final class IncomingMachine {
    private final RentalOption option;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** Creates an empty machine of the given option. */
    public IncomingMachine(RentalOption option, MachineType machineType) {
      this.option = option;
      this.cores = machineType.cores();
      this.accelerators = machineType.accelerators();
      this.memoryGb = machineType.memoryGb();
    }

    /**
     * Reserves resources for up to the given number of tasks. Returns the number of tasks that fit.
     */
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
   * Chooses the machines to rent. Serves the demands in order, each with the cheapest options.
   *
   * @param demands most urgent first
   * @param incoming machines that are coming up; their free capacity is used first and is reduced
   *     by this call
   * @param available false for options that the cloud recently had no capacity for
   * @param maxMachines maximum number of machines to rent
   */
  public List<PlannedRental> plan(
      List<Demand> demands,
      List<IncomingMachine> incoming,
      Predicate<RentalOption> available,
      int maxMachines) {
    PlanBuilder builder = new PlanBuilder(incoming, available, maxMachines);
    demands.forEach(builder::serve);
    return builder.plannedRentals();
  }

  /** The machines and the counts of one planning run. */
  private final class PlanBuilder {
    private final List<IncomingMachine> machines;
    private final Predicate<RentalOption> available;
    private final Map<RentalOption, Integer> countByOption = new HashMap<>();
    private int machinesLeft;

    PlanBuilder(
        List<IncomingMachine> incoming, Predicate<RentalOption> available, int maxMachines) {
      this.machines = new ArrayList<>(incoming);
      this.available = available;
      this.machinesLeft = maxMachines;
    }

    void serve(Demand demand) {
      int tasks = reserveOnMachines(demand);
      while (tasks > 0 && machinesLeft > 0) {
        Optional<RentalOption> option = cheapest(demand, tasks);
        int served = option.isPresent() ? addMachine(option.get(), demand.job, tasks) : 0;
        if (served == 0) {
          return;
        }
        tasks -= served;
      }
    }

    /**
     * Reserves capacity on the incoming and planned machines. Returns the number of tasks that do
     * not fit.
     */
    private int reserveOnMachines(Demand demand) {
      int tasks = demand.tasks;
      for (IncomingMachine machine : machines) {
        if (tasks > 0 && demand.allows(machine.option)) {
          tasks -= machine.reserve(demand.job, tasks);
        }
      }
      return tasks;
    }

    /**
     * Adds one machine of the option to the plan if the machine can serve at least one of the
     * tasks. Returns the number of tasks that the machine serves.
     */
    private int addMachine(RentalOption option, JobSpec job, int tasks) {
      IncomingMachine machine =
          new IncomingMachine(option, typeCatalog.machineType(option.machineType));
      int served = machine.reserve(job, tasks);
      if (served > 0) {
        machines.add(machine);
        countByOption.merge(option, 1, Integer::sum);
        machinesLeft--;
      }
      return served;
    }

    /** Returns the available option with the lowest cost per task served. */
    private Optional<RentalOption> cheapest(Demand demand, int tasks) {
      RentalOption best = null;
      double leastCost = Double.MAX_VALUE;
      for (MachineType machineType : typeCatalog.machineTypes()) {
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

    /**
     * Returns the compared cost of a machine divided by the number of remaining tasks that it
     * serves. A machine that is too large for the remaining tasks is charged to them in full.
     */
    private double costPerTask(
        MachineType machineType, RentalOption option, double share, int tasks) {
      int tasksPerMachine = (int) (1 / Math.max(share, MIN_SHARE) + ROUNDING_TOLERANCE);
      int tasksServed = Math.max(1, Math.min(tasks, tasksPerMachine));
      double cost = typeCatalog.hourlyPrice(machineType, option.spot) / tasksServed;
      if (!costMatters) {
        cost *= 1 + machineType.startupS() / STARTUP_S_DOUBLING_COST;
      }
      return cost * concentrationFactor(option);
    }

    /**
     * Returns the factor by which the compared cost of the option is raised because machines of the
     * option are already planned. This spreads rentals over options, which limits the impact of an
     * outage or a capacity shortage in one zone.
     */
    private double concentrationFactor(RentalOption option) {
      int count = countByOption.getOrDefault(option, 0);
      return 1 + MAX_CONCENTRATION_SURCHARGE * count / (MACHINES_FOR_HALF_SURCHARGE + count);
    }

    List<PlannedRental> plannedRentals() {
      List<PlannedRental> rentals = new ArrayList<>();
      countByOption.forEach((option, count) -> rentals.add(new PlannedRental(option, count)));
      return rentals;
    }
  }

  /** Returns all options of the machine type, by zone and spot before on-demand. */
  private static List<RentalOption> options(MachineType machineType) {
    List<RentalOption> options = new ArrayList<>();
    for (String zone : machineType.zones()) {
      options.add(new RentalOption(machineType.name(), zone, true));
      options.add(new RentalOption(machineType.name(), zone, false));
    }
    return options;
  }
}
