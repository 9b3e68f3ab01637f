package hazelspoke.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Any order of reading, writing, pausing and breaking off. */
class BodyStreamTest {
  private static final int READ = 4_096;

  /** Plays one course of events; the seed is printed with a failure. */
  @Property(tries = 2_000)
  void allArrivesInOrderWithOneEndAndLittleWaitsInBetween(@ForAll long seed) {
    Random random = new Random(seed);
    List<Byte> sent = new ArrayList<>();
    List<Byte> got = new ArrayList<>();
    boolean[] flowing = {true};
    boolean[] abandoned = {false};
    int[] ends = {0};
    int[] breaks = {0};
    BodyStream flow =
        new BodyStream(
            new BodyStream.Source() {
              @Override
              public void setReading(boolean on) {
                flowing[0] = on;
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
              got.add(b);
            }
            boolean more = random.nextInt(3) > 0;
            if (!more && random.nextInt(4) == 0) {
              // A socket that takes it at once says so before this returns.
              flow.pull();
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
            breaks[0]++;
          }
        };
    boolean over = false;
    boolean failed = false;
    int steps = 1 + random.nextInt(60);
    for (int i = 0; i < steps; i++) {
      switch (random.nextInt(6)) {
        case 0, 1, 2 -> {
          if (!over && flowing[0]) {
            byte[] bytes = new byte[random.nextInt(READ)];
            random.nextBytes(bytes);
            flow.offer(bytes);
            for (byte b : bytes) {
              sent.add(b);
            }
          }
        }
        case 3 -> {
          if (flow.isAttached()) {
            flow.pull();
          } else {
            flow.attach(sink);
          }
        }
        case 4 -> {
          if (!over && random.nextInt(8) == 0) {
            over = true;
            failed = random.nextBoolean();
            if (failed) {
              flow.fail();
            } else {
              flow.end();
            }
          }
        }
        default -> {
          if (flow.isAttached() && random.nextInt(30) == 0) {
            flow.abandon();
          }
        }
      }
      assertThat(sent.subList(0, got.size())).isEqualTo(got);
      if (!abandoned[0] && !failed) {
        assertThat(sent.size() - got.size()).isLessThan(BodyStream.MAX_PENDING_BYTES + READ);
      }
      assertThat(ends[0] + breaks[0]).isLessThanOrEqualTo(1);
    }
    if (!flow.isAttached()) {
      flow.attach(sink);
    }
    for (int i = 0; i < 1_000 && ends[0] + breaks[0] == 0 && !abandoned[0]; i++) {
      flow.pull();
      if (!over) {
        over = true;
        flow.end();
      }
    }
    if (!abandoned[0]) {
      assertThat(breaks[0]).isEqualTo(failed ? 1 : 0);
      assertThat(ends[0]).isEqualTo(failed ? 0 : 1);
      if (!failed) {
        assertThat(got).isEqualTo(sent);
      }
    }
  }
}
