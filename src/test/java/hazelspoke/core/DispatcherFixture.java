package hazelspoke.core;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import ternscale.api.Actions;
import ternscale.api.Balancer;
import ternscale.api.HostEntry;
import ternscale.api.Outcome.Result;
import ternscale.api.Settings;
import ternscale.api.Settings.DedupScope;
import ternscale.api.Settings.Effect;
import ternscale.api.Settings.RequestClass;

/** A dispatcher with a front end and a back end that use no protocol, under simulated time. */
final class DispatcherFixture implements HostTransport, Discovery {
  static final double DEADLINE_MS = 1_000;

  /** A client that records its answers. */
  static final class RecordingClient implements Client {
    final List<Answer> answers = new ArrayList<>();
    boolean disconnected;
    Request request;
    Exchange exchange;

    @Override
    public String describeWait() {
      return "waiting for nobody";
    }

    @Override
    public Presence checkPresence() {
      return disconnected ? Presence.GONE : Presence.WAITING;
    }

    @Override
    public void answer(Answer answer) {
      answers.add(answer);
      if (answer.share() != null) {
        answer.share().release();
      }
    }
  }

  /** A call to a host, ended by the test. */
  final class Call implements CallHandle {
    final HostCall call;
    boolean sent;
    boolean ended;

    Call(HostCall call) {
      this.call = call;
    }

    @Override
    public boolean isFirstByteSent() {
      return sent;
    }

    @Override
    public boolean isLastByteSent() {
      return sent;
    }

    @Override
    public boolean deliverIncompleteAnswer() {
      return false;
    }

    @Override
    public String describeWait() {
      return "waiting for nobody";
    }

    @Override
    public void cancel() {
      ended = true;
      calls.remove(this);
    }

    /** Writes the call; its request must still be available. */
    void write() {
      if (!sent) {
        sent = true;
        if (call instanceof Attempt && call.request() == null) {
          throw new AssertionError("a call was written for a request that has ended");
        }
        written.add(call.request());
        remainingTimesMs.add(call.remainingMs());
      }
    }

    void end(Result result) {
      calls.remove(this);
      ended = true;
      if (result == Result.OK) {
        write();
        Body body = new Body();
        ByteBudget.Share share = responseBudget.share(NO_HOLDER);
        share.add(7);
        call.onAnswer(new Metadata(), "", body, share);
      } else {
        call.onEnd(result, "");
      }
    }
  }

  /** A holder that is never paused. */
  private static final ByteBudget.Holder NO_HOLDER =
      new ByteBudget.Holder() {
        @Override
        public void resume() {
          throw new AssertionError("was not paused");
        }

        @Override
        public void giveWay() {
          throw new AssertionError("there is room");
        }
      };

  final MockTicker ticker = Ticker.newMockTicker();
  final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  final List<Call> calls = new ArrayList<>();
  final List<Request> written = new ArrayList<>();
  final List<Double> remainingTimesMs = new ArrayList<>();
  final Dispatcher dispatcher;
  final Clock clock = new Clock(ticker);
  final ByteBudget requestBudget = new ByteBudget(1 << 20, 25, clock, (task, delayMs) -> {});
  final ByteBudget responseBudget = new ByteBudget(1 << 20, 25, clock, (task, delayMs) -> {});
  private int requestCount;

  DispatcherFixture(int openCap, Function<Actions, Balancer> balancerFactory) {
    dispatcher =
        new Dispatcher(
            channel.eventLoop(),
            settings(),
            new Names(List.of("look"), List.of(), List.of("a"), List.of("k"), List.of()),
            openCap,
            clock,
            new Log(new PrintStream(log, true), clock),
            this,
            RequestIds.ofOneProcess(ticker::nanoTime),
            Meter.NONE);
    dispatcher.start(balancerFactory.apply(dispatcher), this);
  }

  static Settings settings() {
    return new Settings(
        0,
        1,
        0,
        1,
        1,
        List.of(
            new RequestClass(
                500, 0, DEADLINE_MS, 1, 0, Effect.REPEATABLE, DedupScope.ALL, 0, false)),
        List.of(),
        1,
        false,
        Settings.Discovery.PUSHED,
        false,
        false,
        new Settings.Limits(4, true, true, true, false, true, 1_000, 100, 10_000, 1),
        new Settings.Rules(0.2, 10_000, 3, 3_000, 1_000, 20, 10_000),
        new Settings.Costs(0, 0, 0, 0, 0),
        new Settings.Objective(1, 0, 0, 0),
        Settings.ReportMode.NONE,
        List.of(),
        Settings.WeightMeaning.NONE);
  }

  /** Hands over a complete request with a body. */
  RecordingClient sendRequest() {
    RecordingClient client = new RecordingClient();
    ByteBudget.Share share = requestBudget.share(NO_HOLDER);
    share.add(100);
    Request request =
        new Request(
            "t" + requestCount++,
            0,
            Effect.REPEATABLE,
            0,
            DEADLINE_MS,
            1,
            null,
            false,
            "/look",
            new Metadata(),
            new Body());
    client.request = request;
    client.exchange = new Exchange(request, client, share);
    if (!dispatcher.claimId(client.exchange)) {
      throw new AssertionError("the id is taken");
    }
    dispatcher.onRequest(client.exchange);
    return client;
  }

  void disconnect(RecordingClient client) {
    client.disconnected = true;
    dispatcher.onClientDisconnected(client.exchange);
  }

  /** Advances the time in steps of 1 ms and runs the event loop after each. */
  void advance(long ms) {
    for (long i = 0; i < ms; i++) {
      ticker.advanceMillis(1);
      runLoop();
    }
  }

  /** Runs the scheduled and pending tasks of the event loop. */
  void runLoop() {
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  @Override
  public CallHandle start(String host, HostCall call) {
    Call started = new Call(call);
    calls.add(started);
    return started;
  }

  @Override
  public void closeIdle(String host) {}

  @Override
  public HostEntry setAddress(HostEntry host, InetSocketAddress address) {
    return null;
  }

  @Override
  public void remove(String host) {}

  @Override
  public void retainOnly(Set<String> hosts) {}

  @Override
  public void watch(boolean on) {}

  @Override
  public void poll() {}
}
