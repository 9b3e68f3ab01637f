package hazelspoke.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** The sizes of the buffers at the sockets: small, as a thousand sockets may each hold some. */
public final class Buffers {
  private static final int PAGE_BYTES = 8_192;

  /** Chunks of 1 MiB, or the pool would take memory in steps that do not fit the limit. */
  private static final int CHUNK_ORDER = 7;

  private static final int LEAST_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 2_048;
  public static final int MAX_READ_BYTES = 16_384;

  /** Of each size so many are kept at hand, which spares the arena's lock; large ones are not. */
  private static final int SMALL_AT_HAND = 16;

  /** One arena, as there is one thread; little is cached, as that holds on to memory. */
  public static final ByteBufAllocator ALLOCATOR =
      new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER, SMALL_AT_HAND, 0, false);

  /** What a connection may have waiting to be written before its source is asked to stop. */
  public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16_384, 32_768);

  private Buffers() {}

  public static RecvByteBufAllocator receiveAllocator() {
    return new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
  }
}
