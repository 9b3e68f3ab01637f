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
 * A disk that keeps no more than it has promised. After a power failure of each file there is what
 * was synced, some of what was written since, and perhaps zeros in the place of the rest; of names
 * made, changed or taken away since the folder was synced any may be as before. Calls can be made
 * to fail, or to be the last before the power does.
 */
public final class SimDisk implements Disk {
  /** The power fails within this call. */
  public static final class PowerFailure extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  private static final class Node {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int synced;

    /** What a sync has failed to write, and what later syncs take for written. */
    final List<int[]> holes = new ArrayList<>();
  }

  private final Random random;
  private TreeMap<String, Node> names = new TreeMap<>();
  private Map<String, Node> lasting = new HashMap<>();
  private final List<Consumer<Map<String, Node>>> pending = new ArrayList<>();

  /** Calls until the power fails, or until one fails; below 0 for never. */
  public int powerFailsIn = -1;

  public int failsIn = -1;

  public SimDisk(long seed) {
    random = new Random(seed);
  }

  /** The power fails and comes back. */
  public void crash() {
    powerFailsIn = -1;
    failsIn = -1;
    TreeMap<String, Node> left = new TreeMap<>(lasting);
    for (Consumer<Map<String, Node>> change : pending) {
      if (random.nextBoolean()) {
        change.accept(left);
      }
    }
    pending.clear();
    names = new TreeMap<>();
    left.forEach((name, node) -> names.put(name, after(node)));
    lasting = new HashMap<>(names);
  }

  private Node after(Node node) {
    byte[] all = node.bytes.toByteArray();
    int unsynced = all.length - node.synced;
    int kept = node.synced + random.nextInt(unsynced + 1);
    byte[] left = Arrays.copyOf(all, kept + random.nextInt(all.length - kept + 1));
    Arrays.fill(left, Math.min(kept, left.length), left.length, (byte) 0);
    for (int[] hole : node.holes) {
      Arrays.fill(left, Math.min(hole[0], left.length), Math.min(hole[1], left.length), (byte) 0);
    }
    Node out = new Node();
    out.bytes.writeBytes(left);
    out.synced = left.length;
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

  private void call() throws IOException {
    if (fails()) {
      throw new IOException("no space left on device");
    }
  }

  private void change(Consumer<Map<String, Node>> what) {
    what.accept(names);
    pending.add(what);
  }

  private Node node(String name) throws IOException {
    Node node = names.get(name);
    if (node == null) {
      throw new NoSuchFileException(name);
    }
    return node;
  }

  /** A byte of a file is another one from now on. */
  void flip(String name, int at, int mask) throws IOException {
    byte[] bytes = read(name);
    bytes[at] ^= (byte) mask;
    Node node = new Node();
    node.bytes.writeBytes(bytes);
    node.synced = bytes.length;
    names.put(name, node);
    lasting.put(name, node);
  }

  /** Puts one file of this disk, as it is, on another. */
  public void copyTo(SimDisk other, String name) {
    Node node = names.get(name);
    if (node != null) {
      other.names.put(name, after(node));
      other.lasting.put(name, other.names.get(name));
    }
  }

  /** Another disk with the same on it. */
  public SimDisk copy() {
    SimDisk copy = new SimDisk(1);
    copy.names.putAll(names);
    copy.lasting.putAll(names);
    return copy;
  }

  @Override
  public Set<String> list() throws IOException {
    call();
    return Set.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) throws IOException {
    return node(name).bytes.toByteArray();
  }

  @Override
  public Output create(String name) throws IOException {
    call();
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
          // The pages count as clean from now on, and were never written.
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
    call();
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
    call();
    node(name);
    change(map -> map.remove(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    call();
    pending.clear();
    lasting = new HashMap<>(names);
  }
}
