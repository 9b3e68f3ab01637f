package ternscale.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import ternscale.adapter.WireReader.Field;
import ternscale.api.Balancer;
import ternscale.api.MembersUpdate;
import ternscale.api.Outcome;
import ternscale.api.Outcome.Result;
import ternscale.api.ProbeResult;
import ternscale.api.RequestInfo;
import ternscale.policy.LcStarBalancer;

/**
 * Connects the simulator's wire protocol to balancers: one balancer per instance, one reply per
 * batch of events. It makes no decisions itself.
 */
final class Adapter {
  private final WireReader in;
  private final WireWriter out;
  private final Map<Integer, Balancer> balancers = new HashMap<>();
  private double now;

  Adapter(InputStream in, OutputStream out) throws IOException {
    this.in = new WireReader(in);
    this.out = new WireWriter(out);
  }

  /** Processes batches until the input ends between two of them. */
  void run() throws IOException {
    while (in.next()) {
      String msg = in.text(Field.MSG);
      if (!msg.equals("Mark")) {
        throw in.error("expected field msg to be Mark, not " + msg);
      }
      now = in.number(Field.SIM_TIME);
      long frame = in.integer(Field.FRAME);
      boolean failed = false;
      while (true) {
        if (!in.next()) {
          throw in.error("unexpected end of input inside the batch");
        }
        msg = in.text(Field.MSG);
        if (msg.equals("Eob")) {
          break;
        }
        failed |= !handle(msg, failed);
      }
      out.finishReply(frame);
    }
  }

  /** Dispatches one event. Returns false if the balancer failed, which ends the simulation. */
  private boolean handle(String msg, boolean failed) {
    int instance = in.nonNegativeInt(Field.WHO);
    Runnable event = parse(msg, instance);
    if (failed) {
      return true;
    }
    try {
      event.run();
      return true;
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      out.writeFailure(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
      return false;
    }
  }

  private Runnable parse(String msg, int instance) {
    return switch (msg) {
      case "OpenInstance" -> openInstance(instance);
      case "Kill" -> {
        Balancer b = balancer(instance);
        yield () -> {
          b.close();
          balancers.remove(instance);
        };
      }
      case "Members" -> members(balancer(instance));
      case "Call" -> request(balancer(instance));
      case "Ended" -> attemptEnded(balancer(instance));
      case "CancelledByClient" -> {
        Balancer b = balancer(instance);
        String requestId = in.text(Field.CALL);
        yield () -> b.onClientDisconnected(now, requestId);
      }
      case "Accepted" -> responseStarted(balancer(instance));
      case "Reminder" -> {
        Balancer b = balancer(instance);
        long timer = in.integer(Field.NAME);
        yield () -> b.onTimer(now, timer);
      }
      case "Sampled" -> probeEnded(balancer(instance));
      case "Memo" -> {
        Balancer b = balancer(instance);
        int sender = in.nonNegativeInt(Field.SENDER);
        String data = in.textOr(Field.DATA, "");
        yield () -> b.onPeerMessage(now, sender, data);
      }
      default -> throw in.error("field msg has the unknown value " + msg);
    };
  }

  private Balancer balancer(int instance) {
    Balancer b = balancers.get(instance);
    if (b == null) {
      throw in.error("field who refers to instance " + instance + ", which is not open");
    }
    return b;
  }

  private Runnable openInstance(int instance) {
    long seed = in.integer(Field.RANDOM_SEED);
    ternscale.api.Settings settings;
    try {
      settings = SettingsReader.read(in.settings());
    } catch (WireException | IllegalArgumentException e) {
      throw in.error("settings: " + e.getMessage());
    }
    return () ->
        balancers.put(instance, new LcStarBalancer(settings, seed, now, out.forInstance(instance)));
  }

  private Runnable members(Balancer b) {
    String scope = in.text(Field.SCOPE);
    MembersUpdate.Kind kind =
        switch (scope) {
          case "delta" -> MembersUpdate.Kind.DELTA;
          case "full" -> MembersUpdate.Kind.FULL;
          case "cached" -> MembersUpdate.Kind.CACHED;
          case "failed" -> MembersUpdate.Kind.FAILED;
          default -> throw in.error("field scope has the unknown value " + scope);
        };
    MembersUpdate update =
        new MembersUpdate(kind, (long) in.numberOr(Field.INDEX, 0), in.entries());
    return () -> b.onMembers(now, update);
  }

  private Runnable request(Balancer b) {
    RequestInfo request =
        new RequestInfo(
            in.text(Field.CALL),
            in.nonNegativeIntOr(Field.LANE, 0),
            in.nonNegativeIntOr(Field.PROJECT, 0),
            in.number(Field.CLIENT_DEADLINE),
            in.numberOr(Field.ESTIMATE, 0),
            in.textOr(Field.ENTITY, null),
            in.flag(Field.UPDATE),
            in.flag(Field.RETRY));
    return () -> b.onRequest(now, request);
  }

  private Runnable attemptEnded(Balancer b) {
    Outcome outcome =
        new Outcome(
            in.text(Field.CALL),
            in.text(Field.HOST),
            in.nonNegativeIntOr(Field.SHOT, 0),
            result(),
            in.numberOr(Field.TIME_TAKEN, 0),
            in.flag(Field.CLOSED),
            in.report());
    return () -> b.onOutcome(now, outcome);
  }

  private Runnable responseStarted(Balancer b) {
    String requestId = in.text(Field.CALL);
    int attempt = in.nonNegativeIntOr(Field.SHOT, 0);
    String host = in.text(Field.HOST);
    return () -> b.onResponseStarted(now, requestId, attempt, host);
  }

  private Runnable probeEnded(Balancer b) {
    ProbeResult result =
        new ProbeResult(
            in.text(Field.HOST), result(), in.numberOr(Field.TIME_TAKEN, 0), in.report());
    return () -> b.onProbeResult(now, result);
  }

  private Result result() {
    String code = in.text(Field.CODE);
    return switch (code) {
      case "GOOD" -> Result.OK;
      case "BAD" -> Result.ERROR;
      case "FULL" -> Result.REJECTED;
      case "LATE" -> Result.TIMEOUT;
      case "NOCONN" -> Result.CONNECT_FAILED;
      case "RST" -> Result.RESET;
      case "CXL" -> Result.CANCELLED;
      case "NOP" -> Result.NOT_SENT;
      default -> throw in.error("field code has the unknown value " + code);
    };
  }
}
