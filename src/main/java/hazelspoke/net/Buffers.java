package hazelspoke.net;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The sizes of the socket buffers. They are small because a thousand sockets may each hold some.
 */
public final class Buffers {
  private static final int PAGE_BYTES = 8_192;

  /**
   * Chunks of 1 MiB; with larger ones the pool would grow in steps that do not fit the memory
   * limit.
   */
  private static final int CHUNK_ORDER = 7;

  private static final int MIN_READ_BYTES = 512;
  private static final int INITIAL_READ_BYTES = 2_048;
  public static final int MAX_READ_BYTES = 8_192;

  /**
   * The number of cached buffers per small size, which avoids taking the arena's lock; large
   * buffers are not cached.
   */
  private static final int SMALL_CACHE_SIZE = 16;

  /** One arena, because there is one thread. The caches are small because they retain memory. */
  public static final PooledByteBufAllocator ALLOCATOR =
      new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, SMALL_CACHE_SIZE, 0, false);

  /**
   * The size of a client's send buffer in the kernel. More can be written only once a third of it
   * is free: with a larger one, which Linux would choose, a client that reads slowly could not be
   * told from one that does not read.
   */
  public static final int CLIENT_SEND_BUFFER_BYTES = 65_536;

  /** The size of the pieces in which long bodies are written. */
  public static final int PIECE_BYTES = 8_192;

  /**
   * The bytes that may be pending for write at a connection before its source is paused; one more
   * piece may follow. They are off the heap, and all connections at once must fit the JVM's limit.
   */
  public static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(PIECE_BYTES / 2, PIECE_BYTES);

  private Buffers() {}

  public static RecvByteBufAllocator receiveAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
  }
}
