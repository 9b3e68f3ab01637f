package hazelspoke.agreement.store;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A simulated disk that guarantees no more than {@link Disk} does. After a power failure a file has
 * its synced bytes, some of the bytes written since, and possibly zeros in place of the remainder;
 * each creation, rename and deletion since the last sync of the directory may be undone. Calls can
 * be made to fail, or to be interrupted by a power failure.
 */
public final class SimDisk implements Disk {
  /** Thrown by the call during which the power fails. */
  public static final class PowerFailure extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  private static final class Node {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int synced;

    /** Ranges that a failed sync did not write and that later syncs regard as clean. */
    final List<int[]> holes = new ArrayList<>();
  }

  private final Random random;
  private TreeMap<String, Node> names = new TreeMap<>();
  private Map<String, Node> durable = new HashMap<>();
  private final List<Consumer<Map<String, Node>>> pending = new ArrayList<>();

  /** Number of calls before the one in which the power fails; below 0 for never. */
  public int powerFailsIn = -1;

  /** Number of calls before one that fails; below 0 for never. */
  public int failsIn = -1;

  public SimDisk(long seed) {
    random = new Random(seed);
  }

  /** Simulates a power failure and restart. */
  public void crash() {
    powerFailsIn = -1;
    failsIn = -1;
    TreeMap<String, Node> remaining = new TreeMap<>(durable);
    for (Consumer<Map<String, Node>> change : pending) {
      if (random.nextBoolean()) {
        change.accept(remaining);
      }
    }
    pending.clear();
    names = new TreeMap<>();
    remaining.forEach((name, node) -> names.put(name, afterPowerFailure(node)));
    durable = new HashMap<>(names);
  }

  private Node afterPowerFailure(Node node) {
    byte[] all = node.bytes.toByteArray();
    int unsynced = all.length - node.synced;
    int kept = node.synced + random.nextInt(unsynced + 1);
    byte[] content = Arrays.copyOf(all, kept + random.nextInt(all.length - kept + 1));
    Arrays.fill(content, Math.min(kept, content.length), content.length, (byte) 0);
    for (int[] hole : node.holes) {
      Arrays.fill(
          content, Math.min(hole[0], content.length), Math.min(hole[1], content.length), (byte) 0);
    }
    Node out = new Node();
    out.bytes.writeBytes(content);
    out.synced = content.length;
    return out;
  }

  private boolean fails() {
    if (powerFailsIn == 0) {
      throw new PowerFailure();
    }
    powerFailsIn -= powerFailsIn > 0 ? 1 : 0;
    boolean fails = failsIn == 0;
    failsIn -= failsIn >= 0 ? 1 : 0;
    return fails;
  }

  private void countCall() throws IOException {
    if (fails()) {
      throw new IOException("no space left on device");
    }
  }

  private void change(Consumer<Map<String, Node>> update) {
    update.accept(names);
    pending.add(update);
  }

  private Node node(String name) throws IOException {
    Node node = names.get(name);
    if (node == null) {
      throw new NoSuchFileException(name);
    }
    return node;
  }

  /** Flips bits of one byte of a file. */
  void flip(String name, int at, int mask) throws IOException {
    byte[] bytes = read(name);
    bytes[at] ^= (byte) mask;
    Node node = new Node();
    node.bytes.writeBytes(bytes);
    node.synced = bytes.length;
    names.put(name, node);
    durable.put(name, node);
  }

  /**
   * Copies one file of this disk to another, in the state that a power failure would leave it in.
   */
  public void copyTo(SimDisk other, String name) {
    Node node = names.get(name);
    if (node != null) {
      other.names.put(name, afterPowerFailure(node));
      other.durable.put(name, other.names.get(name));
    }
  }

  /** Returns a disk with the same files. */
  public SimDisk copy() {
    SimDisk copy = new SimDisk(1);
    copy.names.putAll(names);
    copy.durable.putAll(names);
    return copy;
  }

  @Override
  public Set<String> list() throws IOException {
    countCall();
    return Set.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    return node(name).bytes.toByteArray();
  }

  @Override
  public Output create(String name) throws IOException {
    countCall();
    if (names.containsKey(name)) {
      throw new FileAlreadyExistsException(name);
    }
    Node node = new Node();
    change(map -> map.put(name, node));
    return new Output() {
      @Override
      public void write(byte[] bytes) throws IOException {
        boolean fails;
        try {
          fails = fails();
        } catch (PowerFailure e) {
          node.bytes.write(bytes, 0, random.nextInt(bytes.length + 1));
          throw e;
        }
        if (fails) {
          node.bytes.write(bytes, 0, random.nextInt(bytes.length + 1));
          throw new IOException("no space left on device");
        }
        node.bytes.writeBytes(bytes);
      }

      @Override
      public void sync() throws IOException {
        if (fails()) {
          // The pages count as clean from now on, although they were never written.
          node.holes.add(new int[] {node.synced, node.bytes.size()});
          throw new IOException("input/output error");
        }
        node.synced = node.bytes.size();
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    countCall();
    node(from);
    change(
        map -> {
          Node node = map.remove(from);
          if (node != null) {
            map.put(to, node);
          }
        });
  }

  @Override
  public void delete(String name) throws IOException {
    countCall();
    node(name);
    change(map -> map.remove(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    countCall();
    pending.clear();
    durable = new HashMap<>(names);
  }
}
