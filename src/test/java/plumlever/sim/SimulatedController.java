package plumlever.sim;

import java.nio.charset.StandardCharsets;
import plumlever.Controller;
import plumlever.concurrent.Loop;
import plumlever.http.Caller;
import plumlever.http.Responder;
import plumlever.leader.Leader;
import plumlever.metrics.Logs;
import plumlever.settings.OperatorSettings;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;
import plumlever.wire.HttpStatus;
import plumlever.wire.ProtocolPath;

/** A controller's process on the simulated clock, which can be killed and started again. */
final class SimulatedController {
  /** The wall clock when the simulated clock stands at 0. */
  private static final long WALL_MICROS = 1_700_000_000_000_000L;

  final PlatformConfiguration platform;

  /** False: the election has no thread of its own, so that tests can show what that costs. */
  boolean electionApart = true;

  private final SimulatedCluster cluster;
  private Controller controller;

  /** Counts the starts of the process; what belongs to an earlier one does nothing any more. */
  private int life;

  private long frozenUntil;
  private long stalledUntil;
  private int openCalls;

  /** The thread that decides. */
  private Processor decisions;

  private Processor election;

  SimulatedController(SimulatedCluster cluster, PlatformConfiguration platform) {
    this.cluster = cluster;
    this.platform = platform;
    start();
  }

  /** The running controller, or null while the process is away. */
  Controller controller() {
    return controller;
  }

  boolean leads() {
    return controller != null && controller.leader().isPresent();
  }

  /** The leader in its process; only while it leads. */
  Leader actingLeader() {
    return controller.leader().orElseThrow();
  }

  /** Starts the process anew. */
  void start() {
    int ownLife = ++life;
    // The election's thread gets on whatever the other has to do, but on the same processor, so at
    // half the speed.
    decisions =
        new Processor(
            cluster,
            cluster.costs,
            1,
            () -> controller == null ? 0 : controller.metrics().counter("candidates_evaluated"));
    election = electionApart ? new Processor(cluster, cluster.costs, 2, () -> 0L) : decisions;
    Loop loop = loop(ownLife, decisions);
    Loop electionLoop = loop(ownLife, election);
    controller =
        new Controller(
            loop,
            caller(ownLife, decisions),
            electionLoop,
            caller(ownLife, election),
            platform,
            new OperatorSettings(SchedulerParameters.defaults(), cluster.sharing(platform.label())),
            cluster.random.nextLong(),
            Logs.SERVICE);
    serve(ownLife, controller);
    Controller started = controller;
    cluster.at(
        0,
        () -> {
          if (life == ownLife) {
            started.start();
          }
        });
  }

  private void serve(int ownLife, Controller served) {
    cluster.network.services.put(
        platform.bind(),
        (from, method, path, body, reply) ->
            awake(
                ownLife,
                decisions,
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
                            new ReplyOfLife(ownLife, served, path, reply))));
    cluster.network.services.put(
        platform.peerBind(),
        (from, method, path, body, reply) ->
            awake(
                ownLife,
                decisions,
                Processor.Work.ANSWER,
                () ->
                    served.peer(
                        method,
                        path,
                        bytes(body),
                        (status, json, retry) -> reply.send(status, json))));
  }

  /** An answer that is not sent any more once the process has ended. */
  private final class ReplyOfLife implements Responder {
    private final int ownLife;
    private final Controller served;
    private final String path;
    private final SimulatedNetwork.Reply reply;
    private boolean closing;

    ReplyOfLife(int ownLife, Controller served, String path, SimulatedNetwork.Reply reply) {
      this.ownLife = ownLife;
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
      if (life == ownLife && closing) {
        reply.sendClosing(status, json);
      } else if (life == ownLife) {
        reply.send(status, json);
      }
    }
  }

  private Loop loop(int ownLife, Processor thread) {
    return new Loop() {
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
        cluster.at(delayMicros, () -> awake(ownLife, thread, Processor.Work.TIMER, cancellable));
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

  private Caller caller(int ownLife, Processor thread) {
    return (to, method, path, body, timeoutMicros, answer) -> {
      boolean direct = path.equals(ProtocolPath.COMMANDS);
      if (direct) {
        openCalls++;
        cluster.noteSockets(openCalls + cluster.cloud.reportingTo(platform.label()));
      }
      cluster.network.send(
          platform.label(),
          to,
          method,
          path,
          body == null ? null : new String(body, StandardCharsets.ISO_8859_1),
          timeoutMicros,
          received ->
              awake(
                  ownLife,
                  thread,
                  Processor.Work.ANSWER,
                  () -> {
                    openCalls -= direct ? 1 : 0;
                    answer.handle(received.status(), bytes(received.body()));
                  }));
    };
  }

  /**
   * Runs it in this life, in its turn; a process that stands still gets to what has arrived when it
   * wakes.
   */
  private void awake(int ofLife, Processor thread, Processor.Work work, Runnable action) {
    if (life != ofLife) {
      return;
    }
    long heldUntil = thread == decisions ? Math.max(frozenUntil, stalledUntil) : frozenUntil;
    if (cluster.now() < heldUntil) {
      cluster.at(heldUntil - cluster.now(), () -> awake(ofLife, thread, work, action));
    } else {
      thread.take(
          work,
          () -> {
            if (life == ofLife) {
              action.run();
            }
          });
    }
  }

  /** What the thread that decides does takes this many times as long. */
  void slowDown(double times) {
    decisions.slower(times);
  }

  /** The thread that decides stands still; the election's goes on. */
  void stall(double seconds) {
    stalledUntil = cluster.now() + (long) (seconds * 1e6);
  }

  /** It stands still while its clocks run on. */
  void freeze(double seconds) {
    frozenUntil = cluster.now() + (long) (seconds * 1e6);
  }

  /** Ends the process at once. */
  void kill() {
    life++;
    frozenUntil = 0;
    stalledUntil = 0;
    openCalls = 0;
    controller = null;
    cluster.network.services.remove(platform.bind());
    cluster.network.services.remove(platform.peerBind());
  }

  /** Ends the process at once and starts it again later, unless something else has by then. */
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
