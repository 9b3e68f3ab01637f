package hazelspoke.emulator.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what clients and hosts observed, and nothing that a gateway reports about itself. All
 * entries are kept until the end of a rehearsal, when the {@link RuleChecker} reads them; the
 * length and rate of the rehearsal bound the size. Times are in milliseconds since the start of the
 * load, all from one clock. Not thread-safe: at most one thread may write at a time.
 */
public final class EventLog {
  /** How a client attempt ended. */
  public enum ClientAttemptEnd {
    OPEN,
    /** A complete response arrived. */
    ANSWERED,
    /** The response was cut off before its end. */
    TRUNCATED,
    /** The connection closed before any byte of a response. */
    CLOSED,
    /** No response within the time that the rules allow. */
    SILENT,
    /** The request never reached a gateway. */
    UNREACHABLE
  }

  /** One attempt of a client: a request with its own id. */
  public static final class ClientAttempt {
    public final String txn;
    public final int number;
    public final int requestClass;
    public final int gateway;
    public final boolean freshConnection;

    /** When its last byte was written; NaN until then. */
    public double sentAt = Double.NaN;

    /** When its first byte was written; NaN until then. */
    public double sendStartedAt = Double.NaN;

    /** When its client stops waiting. */
    public double deadline;

    public double endedAt = Double.NaN;
    public ClientAttemptEnd end = ClientAttemptEnd.OPEN;
    public int status;

    /** The host that the response names as its origin; null if no host can have produced it. */
    public String respondingHost;

    /** Whether the connection carried more than one response. */
    public boolean hasExtraResponse;

    ClientAttempt(
        String txn,
        int number,
        int requestClass,
        int gateway,
        boolean freshConnection,
        double deadline) {
      this.txn = txn;
      this.number = number;
      this.requestClass = requestClass;
      this.gateway = gateway;
      this.freshConnection = freshConnection;
      this.deadline = deadline;
    }

    /** Returns whether the response states that a retry is safe. */
    public boolean refused() {
      return end == ClientAttemptEnd.ANSWERED && (status == 429 || status == 503);
    }

    public boolean served() {
      return end == ClientAttemptEnd.ANSWERED && status == 200;
    }
  }

  /** How an attempt ended at its host. */
  public enum AttemptEnd {
    OPEN,
    SERVED,
    ERROR,
    TURNED_AWAY,
    /** The host reset the connection or crashed. */
    RESET,
    /** The gateway abandoned it. */
    GIVEN_UP
  }

  /** One attempt, as observed by the host that accepted it. */
  public static final class Attempt {
    public final String txn;
    public final String host;
    public final int group;

    /**
     * When its last byte was read; {@link #earliest} is the earliest time at which it can have been
     * sent.
     */
    public double receivedAt;

    public double earliest;
    public AttemptEnd end = AttemptEnd.OPEN;
    public double endedAt = Double.NaN;

    Attempt(String txn, String host, int group, double receivedAt, double earliest) {
      this.txn = txn;
      this.host = host;
      this.group = group;
      this.receivedAt = receivedAt;
      this.earliest = earliest;
    }

    public void end(AttemptEnd how, double at) {
      if (end == AttemptEnd.OPEN) {
        end = how;
        endedAt = at;
      }
    }

    /** Returns whether the request certainly did not run at the host. */
    boolean neverRan(double at) {
      return end == AttemptEnd.TURNED_AWAY && endedAt <= at;
    }
  }

  /** A notification about a host that was sent to a gateway. */
  public record HostNotification(int gateway, String host, boolean ready, double at) {}

  /** An interval in which a gateway was not running or was about to be killed. */
  public record Outage(int gateway, double from, double to) {}

  /**
   * An overload of a cold host, and the share of its work that came from gateways notified of its
   * start.
   */
  public record HostOverload(String host, double at, double informedShare) {}

  private final Map<String, ClientAttempt> clientAttempts = new LinkedHashMap<>();
  private final Map<String, List<Attempt>> attempts = new HashMap<>();
  private final Map<String, List<HostNotification>> notifications = new HashMap<>();
  private final List<Outage> outages = new ArrayList<>();
  private final List<HostOverload> overloads = new ArrayList<>();
  private long attemptCount;

  /** Records that a client starts to send a request. */
  public ClientAttempt requestStarted(
      String txn,
      int number,
      int requestClass,
      int gateway,
      boolean freshConnection,
      double deadline) {
    ClientAttempt t =
        new ClientAttempt(txn, number, requestClass, gateway, freshConnection, deadline);
    clientAttempts.put(txn, t);
    return t;
  }

  /** Records that a host has read the last byte of a request. */
  public Attempt received(String txn, String host, int group, double at, double earliest) {
    Attempt a = new Attempt(txn, host, group, at, earliest);
    attempts.computeIfAbsent(txn, k -> new ArrayList<>(1)).add(a);
    attemptCount++;
    return a;
  }

  /** Records that a notification about a host was written to a gateway, or counts as delivered. */
  public void notified(int gateway, String host, boolean ready, double at) {
    notifications
        .computeIfAbsent(gateway + " " + host, k -> new ArrayList<>(2))
        .add(new HostNotification(gateway, host, ready, at));
  }

  public void outage(int gateway, double from, double to) {
    outages.add(new Outage(gateway, from, to));
  }

  public void overloaded(String host, double at, double informedShare) {
    overloads.add(new HostOverload(host, at, informedShare));
  }

  /** Returns the client attempt with this id; null if no client sent it. */
  public ClientAttempt find(String txn) {
    return clientAttempts.get(txn);
  }

  public Collection<ClientAttempt> clientAttempts() {
    return clientAttempts.values();
  }

  /** Returns the attempts of a client attempt, in the order in which they were recorded. */
  public List<Attempt> attempts(String txn) {
    return attempts.getOrDefault(txn, List.of());
  }

  public long attemptCount() {
    return attemptCount;
  }

  /** Returns the notifications about a host that a gateway received, in order. */
  public List<HostNotification> notifications(int gateway, String host) {
    return notifications.getOrDefault(gateway + " " + host, List.of());
  }

  public List<Outage> outages() {
    return outages;
  }

  public List<HostOverload> overloads() {
    return overloads;
  }

  /** Returns the request ids that reached a host but that no client sent. */
  public List<String> unknownRequestIds() {
    return attempts.keySet().stream()
        .filter(txn -> !clientAttempts.containsKey(txn))
        .sorted()
        .toList();
  }

  /** Shifts all times by an offset, for a reader with a different time origin. */
  public void shiftTimes(double byMs) {
    for (ClientAttempt t : clientAttempts.values()) {
      t.sentAt += byMs;
      t.deadline += byMs;
      t.endedAt += byMs;
    }
    for (List<Attempt> list : attempts.values()) {
      for (Attempt a : list) {
        a.receivedAt += byMs;
        a.earliest += byMs;
        a.endedAt += byMs;
      }
    }
    for (List<HostNotification> list : notifications.values()) {
      list.replaceAll(t -> new HostNotification(t.gateway(), t.host(), t.ready(), t.at() + byMs));
    }
    outages.replaceAll(o -> new Outage(o.gateway(), o.from() + byMs, o.to() + byMs));
    overloads.replaceAll(f -> new HostOverload(f.host(), f.at() + byMs, f.informedShare()));
  }
}
