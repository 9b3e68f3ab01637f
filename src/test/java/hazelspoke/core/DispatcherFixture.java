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

/** A dispatcher between a front and a back that speak no protocol, in time that is made here. */
final class DispatcherFixture implements HostTransport, Discovery {
  static final double DEADLINE_MS = 1_000;

  /** An asker; keeps what it was answered. */
  static final class RecordingClient implements Client {
    final List<Answer> answers = new ArrayList<>();
    boolean gone;
    Request request;
    Exchange exchange;

    @Override
    public void readPending() {}

    @Override
    public void answer(Answer answer) {
      answers.add(answer);
      if (answer.share() != null) {
        answer.share().release();
      }
    }
  }

  /** A call at a host, which ends as the test says. */
  final class Call implements CallHandle {
    final HostCall call;
    boolean sent;
    boolean over;

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
    public void cancel() {
      over = true;
      calls.remove(this);
    }

    /** Writes it: what is asked has to be there still. */
    void write() {
      if (!sent) {
        sent = true;
        if (call instanceof Attempt && call.request() == null) {
          throw new AssertionError("something goes out for a request that has ended");
        }
        written.add(call.request());
        remaining.add(call.remainingMs());
      }
    }

    void end(Result result) {
      calls.remove(this);
      over = true;
      if (result == Result.OK) {
        write();
        Body body = new Body();
        ByteBudget.Share share = answers.share(() -> {});
        share.add(7);
        call.onAnswer(new Metadata(), "", body, share);
      } else {
        call.onEnd(result, "");
      }
    }
  }

  final MockTicker ticker = Ticker.newMockTicker();
  final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  final ByteArrayOutputStream log = new ByteArrayOutputStream();
  final ByteBudget bodies = new ByteBudget(1 << 20);
  final ByteBudget answers = new ByteBudget(1 << 20);
  final List<Call> calls = new ArrayList<>();
  final List<Request> written = new ArrayList<>();
  final List<Double> remaining = new ArrayList<>();
  final Dispatcher dispatcher;
  final Clock clock = new Clock(ticker);
  private int asked;

  DispatcherFixture(int openCap, Function<Actions, Balancer> module) {
    dispatcher =
        new Dispatcher(
            channel.eventLoop(),
            settings(),
            new Names(List.of("look"), List.of(), List.of("a"), List.of("k"), List.of()),
            openCap,
            clock,
            new Log(new PrintStream(log, true), clock),
            this,
            Meter.NONE);
    dispatcher.start(module.apply(dispatcher), this);
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

  /** A request with a body, whole and handed over. */
  RecordingClient ask() {
    RecordingClient asker = new RecordingClient();
    ByteBudget.Share share = bodies.share(() -> {});
    share.add(100);
    Request request =
        new Request(
            "t" + asked++,
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
    asker.request = request;
    asker.exchange = new Exchange(request, asker, share);
    dispatcher.onRequest(asker.exchange);
    return asker;
  }

  void leave(RecordingClient asker) {
    asker.gone = true;
    dispatcher.onClientDisconnected(asker.exchange);
  }

  /** Lets time pass, step by step as a loop would. */
  void pass(long ms) {
    for (long i = 0; i < ms; i++) {
      ticker.advanceMillis(1);
      turn();
    }
  }

  /** One turn of the loop, and those that follow from it at once. */
  void turn() {
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
