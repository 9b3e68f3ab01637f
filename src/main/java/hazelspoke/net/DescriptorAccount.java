package hazelspoke.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/**
 * Counts the descriptors that the sockets of one event loop hold. A closed channel keeps its
 * descriptor until the loop has polled its selector again; until then it still counts. Confined to
 * the event loop.
 */
public final class DescriptorAccount {
  /** Who opens sockets. */
  public enum Owner {
    CLIENTS,
    HOSTS,
    DISCOVERY
  }

  /** The descriptors of one owner. */
  private static final class Held {
    private int open;

    /** Closed, and not released by the selector yet. */
    private int closing;

    /** The part of {@link #closing} that no release was scheduled for. */
    private int unscheduled;
  }

  private final EventLoop loop;
  private final Map<Owner, Held> owners = new EnumMap<>(Owner.class);
  private long failures;
  private Runnable onReleased = () -> {};

  /** Creates an account without sockets. */
  public DescriptorAccount(EventLoop loop) {
    this.loop = loop;
    for (Owner owner : Owner.values()) {
      owners.put(owner, new Held());
    }
  }

  /** Sets what runs whenever descriptors were released. */
  public void setReleaseListener(Runnable listener) {
    onReleased = listener;
  }

  /** Counts a channel from now on until its descriptor is released. */
  public void opened(Owner owner, Channel channel) {
    Held held = owners.get(owner);
    held.open++;
    channel.closeFuture().addListener(closed -> onClosed(held));
  }

  /** Counts a socket that could not be opened or accepted. */
  public void failed() {
    failures++;
  }

  /** The number of sockets that could not be opened or accepted so far. */
  public long failures() {
    return failures;
  }

  /** The descriptors that an owner holds, those of closed channels included. */
  public int held(Owner owner) {
    Held held = owners.get(owner);
    return held.open + held.closing;
  }

  /** Describes the holders, for the log. */
  public String describe() {
    StringJoiner text = new StringJoiner(", ", "descriptors of ", "");
    owners.forEach(
        (owner, held) ->
            text.add(
                "%s %d and %d closed"
                    .formatted(owner.name().toLowerCase(Locale.ROOT), held.open, held.closing)));
    return text.toString();
  }

  private void onClosed(Held held) {
    held.open--;
    held.closing++;
    held.unscheduled++;
    if (held.unscheduled == 1) {
      loop.execute(() -> releaseAfterPoll(held));
    }
  }

  /**
   * To be called from a task of the loop: due timers are collected before tasks run, so the timer
   * runs in the next iteration, after its poll.
   */
  private void releaseAfterPoll(Held held) {
    int released = held.unscheduled;
    held.unscheduled = 0;
    loop.schedule(() -> release(held, released), 0, TimeUnit.NANOSECONDS);
  }

  private void release(Held held, int released) {
    held.closing -= released;
    onReleased.run();
  }
}
