package hazelspoke.emulator.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What clients and hosts saw, and nothing that a gateway says of itself. Kept whole until the end
 * of a rehearsal, whose length and rate bound it; then the {@link RuleChecker} reads it. Times are
 * in milliseconds since the start of the load, all from one clock. One thread writes it, or one at
 * a time.
 */
public final class EventLog {
  /** How a client's try ended. */
  public enum ClientAttemptEnd {
    OPEN,
    /** A whole answer came. */
    ANSWERED,
    /** An answer began and broke off. */
    TRUNCATED,
    /** The connection ended with nothing of an answer. */
    CLOSED,
    /** Nothing by the time the rules allow. */
    SILENT,
    /** The request never got to a gateway. */
    UNREACHABLE
  }

  /** One try of a client's: a request with an id of its own. */
  public static final class ClientAttempt {
    public final String txn;
    public final int number;
    public final int requestClass;
    public final int gateway;
    public final boolean freshConnection;

    /** When its last byte was written; NaN as long as it was not. */
    public double sentAt = Double.NaN;

    /** When its first byte was written; NaN as long as it was not. */
    public double sendStartedAt = Double.NaN;

    /** When its client stops waiting. */
    public double deadline;

    public double endedAt = Double.NaN;
    public ClientAttemptEnd end = ClientAttemptEnd.OPEN;
    public int status;

    /** The host that the answer names as its maker; null where no host can have made it. */
    public String respondingHost;

    /** Whether more came on the connection than one answer. */
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

    /** Whether the answer says that another try is harmless. */
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
    /** The host broke the connection, or died. */
    RESET,
    /** The gateway gave it up. */
    GIVEN_UP
  }

  /** One attempt, as the host that took it saw it. */
  public static final class Attempt {
    public final String txn;
    public final String host;
    public final int group;

    /** When its last byte was read, and the soonest that it can have been sent. */
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

    /** Whether it is certain that it never ran. */
    boolean neverRan(double at) {
      return end == AttemptEnd.TURNED_AWAY && endedAt <= at;
    }
  }

  /** What a gateway was told of a host. */
  public record HostNotification(int gateway, String host, boolean ready, double at) {}

  /** A time for which a gateway did not run, or was about to be killed. */
  public record Outage(int gateway, double from, double to) {}

  /** A cold host that fell over, and the share of the work that knew of its start. */
  public record HostOverload(String host, double at, double informedShare) {}

  private final Map<String, ClientAttempt> clientAttempts = new LinkedHashMap<>();
  private final Map<String, List<Attempt>> attempts = new HashMap<>();
  private final Map<String, List<HostNotification>> notifications = new HashMap<>();
  private final List<Outage> outages = new ArrayList<>();
  private final List<HostOverload> overloads = new ArrayList<>();
  private long attemptCount;

  /** A client begins to send a request. */
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

  /** A host has read the last byte of a request. */
  public Attempt received(String txn, String host, int group, double at, double earliest) {
    Attempt a = new Attempt(txn, host, group, at, earliest);
    attempts.computeIfAbsent(txn, k -> new ArrayList<>(1)).add(a);
    attemptCount++;
    return a;
  }

  /** News of a host was written to a gateway, or counts as told. */
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

  /** The try with this id; null for one that no client asked. */
  public ClientAttempt find(String txn) {
    return clientAttempts.get(txn);
  }

  public Collection<ClientAttempt> clientAttempts() {
    return clientAttempts.values();
  }

  /** The attempts of a try, in the order in which they were noted. */
  public List<Attempt> attempts(String txn) {
    return attempts.getOrDefault(txn, List.of());
  }

  public long attemptCount() {
    return attemptCount;
  }

  /** What a gateway was told of a host, in order. */
  public List<HostNotification> notifications(int gateway, String host) {
    return notifications.getOrDefault(gateway + " " + host, List.of());
  }

  public List<Outage> outages() {
    return outages;
  }

  public List<HostOverload> overloads() {
    return overloads;
  }

  /** Ids that reached a host and that no client ever sent. */
  public List<String> unknownRequestIds() {
    return attempts.keySet().stream()
        .filter(txn -> !clientAttempts.containsKey(txn))
        .sorted()
        .toList();
  }

  /** Moves all times by so much: for a reader whose 0 is another. */
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
