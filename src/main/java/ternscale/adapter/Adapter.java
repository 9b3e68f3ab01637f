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
        throw in.fail("expected field msg to be Mark, not " + msg);
      }
      now = in.number(Field.SIM_TIME);
      long frame = in.integer(Field.FRAME);
      boolean failed = false;
      while (true) {
        if (!in.next()) {
          throw in.fail("the input ends inside the batch that is open here");
        }
        msg = in.text(Field.MSG);
        if (msg.equals("Eob")) {
          break;
        }
        failed |= !handle(msg, failed);
      }
      out.finish(frame);
    }
  }

  /** Dispatches one event. Returns false if the balancer failed, which ends the simulation. */
  private boolean handle(String msg, boolean failed) {
    int who = in.small(Field.WHO);
    Runnable event = parse(msg, who);
    if (failed) {
      return true;
    }
    try {
      event.run();
      return true;
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      out.giveIn(who, e + (trace.length > 0 ? " at " + trace[0] : ""));
      return false;
    }
  }

  private Runnable parse(String msg, int who) {
    return switch (msg) {
      case "OpenInstance" -> open(who);
      case "Kill" -> {
        Balancer b = balancer(who);
        yield () -> {
          b.close();
          balancers.remove(who);
        };
      }
      case "Members" -> members(balancer(who));
      case "Call" -> call(balancer(who));
      case "Ended" -> ended(balancer(who));
      case "CancelledByClient" -> {
        Balancer b = balancer(who);
        String call = in.text(Field.CALL);
        yield () -> b.onClientDisconnected(now, call);
      }
      case "Accepted" -> accepted(balancer(who));
      case "Reminder" -> {
        Balancer b = balancer(who);
        long name = in.integer(Field.NAME);
        yield () -> b.onTimer(now, name);
      }
      case "Sampled" -> sampled(balancer(who));
      case "Memo" -> {
        Balancer b = balancer(who);
        int sender = in.small(Field.SENDER);
        String data = in.textOr(Field.DATA, "");
        yield () -> b.onPeerMessage(now, sender, data);
      }
      default -> throw in.fail("field msg has the unknown value " + msg);
    };
  }

  private Balancer balancer(int who) {
    Balancer b = balancers.get(who);
    if (b == null) {
      throw in.fail("field who names instance " + who + ", which is not open");
    }
    return b;
  }

  private Runnable open(int who) {
    long seed = in.integer(Field.RANDOM_SEED);
    ternscale.api.Settings settings;
    try {
      settings = SettingsReader.read(in.settings());
    } catch (WireException | IllegalArgumentException e) {
      throw in.fail("settings: " + e.getMessage());
    }
    return () -> balancers.put(who, new LcStarBalancer(settings, seed, now, out.forInstance(who)));
  }

  private Runnable members(Balancer b) {
    String scope = in.text(Field.SCOPE);
    MembersUpdate.Kind kind =
        switch (scope) {
          case "delta" -> MembersUpdate.Kind.DELTA;
          case "full" -> MembersUpdate.Kind.FULL;
          case "cached" -> MembersUpdate.Kind.CACHED;
          case "failed" -> MembersUpdate.Kind.FAILED;
          default -> throw in.fail("field scope has the unknown value " + scope);
        };
    MembersUpdate update =
        new MembersUpdate(kind, (long) in.numberOr(Field.INDEX, 0), in.entries());
    return () -> b.onMembers(now, update);
  }

  private Runnable call(Balancer b) {
    RequestInfo request =
        new RequestInfo(
            in.text(Field.CALL),
            in.smallOr(Field.LANE, 0),
            in.smallOr(Field.PROJECT, 0),
            in.number(Field.CLIENT_DEADLINE),
            in.numberOr(Field.ESTIMATE, 0),
            in.textOr(Field.ENTITY, null),
            in.flag(Field.UPDATE),
            in.flag(Field.RETRY));
    return () -> b.onRequest(now, request);
  }

  private Runnable ended(Balancer b) {
    Outcome outcome =
        new Outcome(
            in.text(Field.CALL),
            in.text(Field.HOST),
            in.smallOr(Field.SHOT, 0),
            result(),
            in.numberOr(Field.TIME_TAKEN, 0),
            in.flag(Field.CLOSED),
            in.report());
    return () -> b.onOutcome(now, outcome);
  }

  private Runnable accepted(Balancer b) {
    String call = in.text(Field.CALL);
    int shot = in.smallOr(Field.SHOT, 0);
    String host = in.text(Field.HOST);
    return () -> b.onResponseStarted(now, call, shot, host);
  }

  private Runnable sampled(Balancer b) {
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
      default -> throw in.fail("field code has the unknown value " + code);
    };
  }
}
