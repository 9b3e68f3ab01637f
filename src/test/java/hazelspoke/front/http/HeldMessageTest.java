package hazelspoke.front.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import org.junit.jupiter.api.Test;

/** Input that is kept while a response is being written. */
class HeldMessageTest {
  /** Guards against an invalid chunk that counts as a valid end of the body once it was kept. */
  @Test
  void keptContentIsStillInvalid() {
    HttpContent invalid = new DefaultLastHttpContent(Unpooled.copiedBuffer(new byte[] {1, 2}));
    invalid.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("no chunk size")));
    HttpContent kept = (HttpContent) HeldMessage.of(invalid);
    assertThat(kept.decoderResult().isFailure()).isTrue();
    assertThat(kept.content().readableBytes()).isEqualTo(2);
    assertThat(invalid.refCnt()).isZero();
    kept.release();
  }
}
