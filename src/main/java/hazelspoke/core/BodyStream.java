package hazelspoke.core;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The remainder of a body that is too large to be buffered, passed from the source that reads it to
 * the sink that writes it. The bytes pending in between are bounded: the source is asked to pause
 * when the sink falls behind. Confined to one event loop; independent of sockets.
 *
 * <p>A source calls {@link #offer}, and then {@link #end} or {@link #fail} once; bytes offered
 * after the sink has {@link #abandon abandoned} the stream are dropped. One sink attaches; it
 * receives all bytes in order and exactly one of {@link Sink#onComplete} and {@link
 * Sink#onTruncated}, unless it abandons the stream.
 */
public final class BodyStream {
  /** The pending bytes above which the source is asked to pause; its last read is added to them. */
  static final int MAX_PENDING_BYTES = 16_384;

  /** The reading side. */
  public interface Source {
    /** Resumes or pauses reading. Idempotent. */
    void setReading(boolean enabled);

    /**
     * A sink has attached: the bytes buffered before the stream were written and can be released.
     */
    default void onAttached() {}

    /** The sink may have taken bytes that were pending. */
    default void onTaken() {}

    /** The remaining bytes are not needed any more. */
    void onAbandoned();
  }

  /** The writing side. */
  public interface Sink {
    /**
     * Takes ownership of the bytes. Returns false if the sink accepts no more until it calls {@link
     * BodyStream#pull}.
     */
    boolean write(byte[] bytes);

    /** The body is complete. */
    void onComplete();

    /** The remaining bytes will not arrive. */
    void onTruncated();
  }

  private final Source source;
  private final Deque<byte[]> pending = new ArrayDeque<>();
  private int pendingBytes;
  private Sink sink;
  private boolean sinkReady;
  private boolean sourceEnded;
  private boolean sourceFailed;
  private boolean done;

  /** Creates a stream from a source, which reads until it is asked to pause. */
  public BodyStream(Source source) {
    this.source = source;
  }

  /** Whether a sink has attached. Bytes passed to one sink cannot be passed to another. */
  public boolean isAttached() {
    return sink != null;
  }

  /** The number of bytes that were offered and not written yet. */
  public int pendingBytes() {
    return pendingBytes;
  }

  /** Adds bytes that were read. A source may offer more than it is asked for. */
  public void offer(byte[] bytes) {
    if (done || bytes.length == 0) {
      return;
    }
    pending.add(bytes);
    pendingBytes += bytes.length;
    deliver();
    if (pendingBytes > MAX_PENDING_BYTES) {
      source.setReading(false);
    }
  }

  /** Reports the end of a complete body. */
  public void end() {
    sourceEnded = true;
    deliver();
  }

  /** Reports that the remaining bytes will not arrive. */
  public void fail() {
    if (done || sourceEnded) {
      return;
    }
    sourceFailed = true;
    pending.clear();
    deliver();
  }

  /**
   * Attaches the sink and starts to deliver bytes to it.
   *
   * @throws IllegalStateException if a sink is already attached
   */
  public void attach(Sink newSink) {
    if (sink != null) {
      throw new IllegalStateException("a sink is already attached");
    }
    sink = newSink;
    source.onAttached();
    pull();
  }

  /** Reports that the sink can accept more. */
  public void pull() {
    sinkReady = true;
    deliver();
    source.onTaken();
    if (!done && !sourceEnded && pendingBytes <= MAX_PENDING_BYTES) {
      source.setReading(true);
    }
  }

  /**
   * Discards the remaining bytes, because the sink does not need them or none will attach, and
   * notifies the source.
   */
  public void abandon() {
    if (!done) {
      done = true;
      pending.clear();
      pendingBytes = 0;
      source.onAbandoned();
    }
  }

  private void deliver() {
    if (sink == null || done) {
      return;
    }
    while (sinkReady && !pending.isEmpty()) {
      byte[] next = pending.poll();
      pendingBytes -= next.length;
      sinkReady = sink.write(next);
    }
    if (done) {
      return;
    }
    if (sourceFailed) {
      done = true;
      sink.onTruncated();
    } else if (sourceEnded && pending.isEmpty()) {
      done = true;
      sink.onComplete();
    }
  }
}
