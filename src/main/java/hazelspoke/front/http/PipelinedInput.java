package hazelspoke.front.http;

import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** Decoded input that arrived while a response was being written, and is handled after it. */
final class PipelinedInput {
  /** Limit of the input that is kept; beyond it reading is paused. */
  private static final int MAX_BYTES = 16_384;

  private final Deque<HttpObject> messages = new ArrayDeque<>();
  private long heldBytes;

  /** Adds a message and takes over its reference. */
  void add(HttpObject message) {
    HttpObject held = HeldMessage.of(message);
    messages.add(held);
    heldBytes += HeldMessage.heldBytes(held);
  }

  /** Removes the oldest message; the caller releases it. */
  HttpObject poll() {
    HttpObject message = messages.remove();
    heldBytes -= HeldMessage.heldBytes(message);
    return message;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Whether no more should be read before a part is handled. */
  boolean isFull() {
    return heldBytes > MAX_BYTES;
  }

  /** The memory that the messages hold. */
  long heldBytes() {
    return heldBytes;
  }

  /** Releases all messages. */
  void drop() {
    messages.forEach(ReferenceCountUtil::release);
    messages.clear();
    heldBytes = 0;
  }
}
