package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Random sequences of reads, writes, pauses and failures. */
class BodyStreamTest {
  private static final int MAX_READ_BYTES = 4_096;

  /** Runs one random sequence of events; the seed is printed with a failure. */
  @Property(tries = 2_000)
  void deliversAllInOrderWithOneEndAndBoundedBuffer(@ForAll long seed) {
    Random random = new Random(seed);
    List<Byte> sent = new ArrayList<>();
    List<Byte> received = new ArrayList<>();
    boolean[] reading = {true};
    boolean[] abandoned = {false};
    int[] ends = {0};
    int[] truncations = {0};
    BodyStream stream =
        new BodyStream(
            new BodyStream.Source() {
              @Override
              public void setReading(boolean enabled) {
                reading[0] = enabled;
              }

              @Override
              public void onAbandoned() {
                abandoned[0] = true;
              }
            });
    BodyStream.Sink sink =
        new BodyStream.Sink() {
          @Override
          public boolean write(byte[] bytes) {
            for (byte b : bytes) {
              received.add(b);
            }
            boolean more = random.nextInt(3) > 0;
            if (!more && random.nextInt(4) == 0) {
              // A socket that writes immediately calls pull before this returns.
              stream.pull();
              return true;
            }
            return more;
          }

          @Override
          public void onComplete() {
            ends[0]++;
          }

          @Override
          public void onTruncated() {
            truncations[0]++;
          }
        };
    boolean sourceDone = false;
    boolean failed = false;
    int steps = 1 + random.nextInt(60);
    for (int i = 0; i < steps; i++) {
      switch (random.nextInt(6)) {
        case 0, 1, 2 -> {
          if (!sourceDone && reading[0]) {
            byte[] bytes = new byte[random.nextInt(MAX_READ_BYTES)];
            random.nextBytes(bytes);
            stream.offer(bytes);
            for (byte b : bytes) {
              sent.add(b);
            }
          }
        }
        case 3 -> {
          if (stream.isAttached()) {
            stream.pull();
          } else {
            stream.attach(sink);
          }
        }
        case 4 -> {
          if (!sourceDone && random.nextInt(8) == 0) {
            sourceDone = true;
            failed = random.nextBoolean();
            if (failed) {
              stream.fail();
            } else {
              stream.end();
            }
          }
        }
        default -> {
          if (stream.isAttached() && random.nextInt(30) == 0) {
            stream.abandon();
          }
        }
      }
      assertThat(sent.subList(0, received.size())).isEqualTo(received);
      if (!abandoned[0] && !failed) {
        assertThat(sent.size() - received.size())
            .isLessThan(BodyStream.MAX_PENDING_BYTES + MAX_READ_BYTES);
      }
      assertThat(ends[0] + truncations[0]).isLessThanOrEqualTo(1);
    }
    if (!stream.isAttached()) {
      stream.attach(sink);
    }
    for (int i = 0; i < 1_000 && ends[0] + truncations[0] == 0 && !abandoned[0]; i++) {
      stream.pull();
      if (!sourceDone) {
        sourceDone = true;
        stream.end();
      }
    }
    if (!abandoned[0]) {
      assertThat(truncations[0]).isEqualTo(failed ? 1 : 0);
      assertThat(ends[0]).isEqualTo(failed ? 0 : 1);
      if (!failed) {
        assertThat(received).isEqualTo(sent);
      }
    }
  }
}
