package hazelspoke.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rest of a body that is too large to be held: bytes on their way from the side that reads them
 * to the side that writes them on. What waits in between is bounded, as the source is asked to
 * pause when the sink does not keep up. On one loop; knows no sockets.
 *
 * <p>A source calls {@link #offer}, and then {@link #end} or {@link #fail}, once; what it offers
 * after a sink has {@link #abandon abandoned} it is dropped. A sink attaches once, is given all in
 * order and exactly one of {@link Sink#onComplete} and {@link Sink#onTruncated}, unless it
 * abandons.
 */
public final class BodyStream {
  /** What may wait before the source is asked to pause; its last read comes on top. */
  static final int MAX_PENDING_BYTES = 16_384;

  /** Who reads the bytes. */
  public interface Source {
    /** Whether to read on. Repeating what holds already does nothing. */
    void setReading(boolean on);

    /** A sink has attached: what was held ahead of this is written and needed no more. */
    default void onAttached() {}

    /** Nobody wants the rest any more. */
    void onAbandoned();
  }

  /** Who writes the bytes on. */
  public interface Sink {
    /** Takes bytes, which are its own from now on; false asks for no more until a pull. */
    boolean write(byte[] bytes);

    /** All has come. */
    void onComplete();

    /** The rest will not come. */
    void onTruncated();
  }

  private final Source source;
  private final Deque<byte[]> waiting = new ArrayDeque<>();
  private int waitingBytes;
  private Sink sink;
  private boolean ready;
  private boolean ended;
  private boolean failed;
  private boolean over;

  /** One from this source, whose reading goes on until it is told otherwise. */
  public BodyStream(Source source) {
    this.source = source;
  }

  /** Whether a sink has attached: what has gone to one cannot be given to another. */
  public boolean isAttached() {
    return sink != null;
  }

  /** More bytes have come. */
  public void offer(byte[] bytes) {
    if (over || bytes.length == 0) {
      return;
    }
    waiting.add(bytes);
    waitingBytes += bytes.length;
    hand();
    if (waitingBytes > MAX_PENDING_BYTES) {
      source.setReading(false);
    }
  }

  /** No more will come: that was all of it. */
  public void end() {
    ended = true;
    hand();
  }

  /** The rest will not come. */
  public void fail() {
    if (over || ended) {
      return;
    }
    failed = true;
    waiting.clear();
    hand();
  }

  /**
   * Gives everything to this sink, which is asked at once.
   *
   * @throws IllegalStateException if there was one before
   */
  public void attach(Sink first) {
    if (sink != null) {
      throw new IllegalStateException("this has gone elsewhere already");
    }
    sink = first;
    source.onAttached();
    pull();
  }

  /** The sink can take more. */
  public void pull() {
    ready = true;
    hand();
    if (!over && !ended && waitingBytes <= MAX_PENDING_BYTES) {
      source.setReading(true);
    }
  }

  /** The sink wants no more, or nobody will ever attach; the source is told. */
  public void abandon() {
    if (!over) {
      over = true;
      waiting.clear();
      waitingBytes = 0;
      source.onAbandoned();
    }
  }

  private void hand() {
    if (sink == null || over) {
      return;
    }
    while (ready && !waiting.isEmpty()) {
      byte[] next = waiting.poll();
      waitingBytes -= next.length;
      ready = sink.write(next);
    }
    if (over) {
      return;
    }
    if (failed) {
      over = true;
      sink.onTruncated();
    } else if (ended && waiting.isEmpty()) {
      over = true;
      sink.onComplete();
    }
  }
}
