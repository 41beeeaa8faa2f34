package plumlever.sim;

import java.nio.charset.StandardCharsets;
import plumlever.Controller;
import plumlever.concurrent.EventLoop;
import plumlever.http.HttpClient;
import plumlever.http.Responder;
import plumlever.leader.Leader;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/** A controller process on the simulated clock, which can be killed, restarted and frozen. */
final class SimulatedController {
  /** Wall-clock time at simulated time 0, in microseconds since the Unix epoch. */
  private static final long WALL_MICROS = 1_700_000_000_000_000L;

  final PlatformConfiguration platform;

  /**
   * True if the election runs on a thread of its own. Tests set the field to false to show what
   * happens if the election shares the thread of the other decisions.
   */
  boolean separateElectionThread = true;

  private final SimulatedCluster cluster;
  private Controller controller;

  /**
   * Number of process starts and ends so far, which identifies the running process. Actions and
   * responses of an earlier process are dropped.
   */
  private int processNumber;

  private long frozenUntil;
  private long stalledUntil;
  private int openDirectCalls;

  /** The thread that makes all decisions except those of the election. */
  private Processor decisionThread;

  private Processor electionThread;

  SimulatedController(SimulatedCluster cluster, PlatformConfiguration platform) {
    this.cluster = cluster;
    this.platform = platform;
    start();
  }

  /** Returns the running controller, or null while no process runs. */
  Controller controller() {
    return controller;
  }

  boolean leads() {
    return controller != null && controller.leader().isPresent();
  }

  /** Returns the leader object of the current term; the controller must be the leader. */
  Leader actingLeader() {
    return controller.leader().orElseThrow();
  }

  /** Starts a new process. */
  void start() {
    int ownProcessNumber = ++processNumber;
    // The election thread makes progress while the decision thread is busy. Both threads share one
    // processor, so the election thread runs at half speed.
    decisionThread =
        new Processor(
            cluster,
            cluster.costs,
            1,
            () -> controller == null ? 0 : controller.metrics().counter("candidates_evaluated"));
    electionThread =
        separateElectionThread
            ? new Processor(cluster, cluster.costs, 2, () -> 0L)
            : decisionThread;
    EventLoop loop = loop(ownProcessNumber, decisionThread);
    EventLoop electionLoop = loop(ownProcessNumber, electionThread);
    controller =
        new Controller(
            loop,
            httpClient(ownProcessNumber, decisionThread),
            electionLoop,
            httpClient(ownProcessNumber, electionThread),
            platform,
            new OperatorSettings(SchedulerParameters.defaults(), cluster.sharing(platform.label())),
            cluster.random.nextLong(),
            cluster.leaseExpiryChecker);
    serve(ownProcessNumber, controller);
    Controller started = controller;
    cluster.at(
        0,
        () -> {
          if (processNumber == ownProcessNumber) {
            started.start();
          }
        });
  }

  private void serve(int ownProcessNumber, Controller served) {
    cluster.network.services.put(
        platform.bind(),
        (from, method, path, body, reply) ->
            runInProcess(
                ownProcessNumber,
                decisionThread,
                path.equals(ProtocolPath.HEARTBEAT)
                    ? Processor.Work.HEARTBEAT
                    : Processor.Work.REQUEST,
                () ->
                    served
                        .router()
                        .handle(
                            method,
                            path,
                            bytes(body),
                            new ProcessResponder(ownProcessNumber, served, path, reply))));
    cluster.network.services.put(
        platform.peerBind(),
        (from, method, path, body, reply) ->
            runInProcess(
                ownProcessNumber,
                decisionThread,
                Processor.Work.RESPONSE,
                () ->
                    served.peer(
                        method,
                        path,
                        bytes(body),
                        (status, json, retry) -> reply.send(status, json))));
  }

  /** Sends a response unless the process that computed the response has ended. */
  private final class ProcessResponder implements Responder {
    private final int ownProcessNumber;
    private final Controller served;
    private final String path;
    private final SimulatedNetwork.Reply reply;
    private boolean closing;

    ProcessResponder(
        int ownProcessNumber, Controller served, String path, SimulatedNetwork.Reply reply) {
      this.ownProcessNumber = ownProcessNumber;
      this.served = served;
      this.path = path;
      this.reply = reply;
    }

    @Override
    public void closeConnection() {
      closing = true;
    }

    @Override
    public void send(int status, String json, int retry) {
      if (status == HttpStatus.OK && path.equals(ProtocolPath.HEARTBEAT) && cluster.hasOneShard()) {
        cluster.checkRenewal(json, served.leader().isPresent());
      }
      if (processNumber == ownProcessNumber && closing) {
        reply.sendClosing(status, json);
      } else if (processNumber == ownProcessNumber) {
        reply.send(status, json);
      }
    }
  }

  private EventLoop loop(int ownProcessNumber, Processor thread) {
    return new EventLoop() {
      @Override
      public long nowMicros() {
        return cluster.now();
      }

      @Override
      public long wallMicros() {
        return WALL_MICROS + cluster.now();
      }

      @Override
      public Timer after(long delayMicros, Runnable action) {
        CancellableAction cancellable = new CancellableAction(action);
        cluster.at(
            delayMicros,
            () -> runInProcess(ownProcessNumber, thread, Processor.Work.TIMER, cancellable));
        return cancellable::cancel;
      }

      @Override
      public void execute(Runnable action) {
        after(0, action);
      }
    };
  }

  private static final class CancellableAction implements Runnable {
    private final Runnable action;
    private boolean cancelled;

    CancellableAction(Runnable action) {
      this.action = action;
    }

    void cancel() {
      cancelled = true;
    }

    @Override
    public void run() {
      if (!cancelled) {
        action.run();
      }
    }
  }

  private HttpClient httpClient(int ownProcessNumber, Processor thread) {
    return (to, method, path, body, timeoutMicros, response) -> {
      boolean direct = path.equals(ProtocolPath.COMMANDS);
      if (direct) {
        openDirectCalls++;
        cluster.recordSockets(
            openDirectCalls + cluster.cloud.countWorkersSendingTo(platform.label()));
      }
      cluster.network.send(
          platform.label(),
          to,
          method,
          path,
          body == null ? null : new String(body, StandardCharsets.ISO_8859_1),
          timeoutMicros,
          received ->
              runInProcess(
                  ownProcessNumber,
                  thread,
                  Processor.Work.RESPONSE,
                  () -> {
                    openDirectCalls -= direct ? 1 : 0;
                    response.handle(received.status(), bytes(received.body()));
                  }));
    };
  }

  /**
   * Runs the action on the thread unless the action's process has ended. While the process is
   * frozen or the thread stalls, the action is deferred.
   */
  private void runInProcess(
      int ofProcessNumber, Processor thread, Processor.Work work, Runnable action) {
    if (processNumber != ofProcessNumber) {
      return;
    }
    long heldUntil = thread == decisionThread ? Math.max(frozenUntil, stalledUntil) : frozenUntil;
    if (cluster.now() < heldUntil) {
      cluster.at(
          heldUntil - cluster.now(), () -> runInProcess(ofProcessNumber, thread, work, action));
    } else {
      thread.submit(
          work,
          () -> {
            if (processNumber == ofProcessNumber) {
              action.run();
            }
          });
    }
  }

  /** Makes every work item on the decision thread take {@code times} times as long as normal. */
  void slowDown(double times) {
    decisionThread.setSlowdown(times);
  }

  /** Blocks the decision thread for the given time; the election thread continues. */
  void stallDecisions(double seconds) {
    stalledUntil = cluster.now() + (long) (seconds * 1e6);
  }

  /** Freezes the whole process for the given time while its clocks continue. */
  void freeze(double seconds) {
    frozenUntil = cluster.now() + (long) (seconds * 1e6);
  }

  /** Ends the process immediately. */
  void kill() {
    processNumber++;
    frozenUntil = 0;
    stalledUntil = 0;
    openDirectCalls = 0;
    controller = null;
    cluster.network.services.remove(platform.bind());
    cluster.network.services.remove(platform.peerBind());
  }

  /**
   * Ends the process immediately and starts a new process after the given time, unless another
   * caller has already started one.
   */
  void crash(double backAfterS) {
    kill();
    cluster.at(
        (long) (backAfterS * 1e6),
        () -> {
          if (controller == null) {
            start();
          }
        });
  }

  private static byte[] bytes(String text) {
    return text == null ? new byte[0] : text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
