package hazelspoke.gateway;

import io.netty.buffer.ByteBuf;

/** Takes a long answer as it comes. */
interface AnswerSink {
  /** Takes what nobody waits for. */
  AnswerSink NOWHERE =
      new AnswerSink() {
        @Override
        public void pass(ByteBuf bytes) {
          bytes.release();
        }

        @Override
        public void finish() {}

        @Override
        public void cutOff() {}
      };

  /** Takes over some bytes. */
  void pass(ByteBuf bytes);

  /** The answer is whole. */
  void finish();

  /** The host left it unfinished: its reader must be able to tell. */
  void cutOff();
}
