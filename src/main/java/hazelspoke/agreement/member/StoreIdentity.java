package hazelspoke.agreement.member;

import hazelspoke.agreement.engine.VoterId;
import hazelspoke.agreement.store.Disk;
import hazelspoke.agreement.wire.Cbor;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * A data folder's own name, which it gets when it is new and which no other folder has. Votes and
 * sessions name it, so that a folder that was lost is never taken for the one that is there.
 */
final class StoreIdentity {
  private static final String FILE = "member";
  private static final String ASIDE = "aside-member";
  private static final String DAMAGED = "damaged-";

  private final Disk disk;
  private final String fleet;
  private final String member;
  private final String name;
  private List<VoterId> founders;
  private long lives;
  private Invitation invitation = Invitation.NONE;

  /**
   * As whom this folder votes, and since which entry that its fleet has agreed on.
   *
   * @param home what stands in the place of the folder's name; empty before the first
   * @param term of the leader who said so
   * @param index of the entry
   */
  record Invitation(String home, long term, long index) {
    static final Invitation NONE = new Invitation("", 0, 0);

    static Invitation read(Fields in) throws MalformedException {
      return new Invitation(in.text("as"), in.number("term"), in.number("index"));
    }

    void write(Map<String, Object> out) {
      out.put("as", home);
      out.put("term", term);
      out.put("index", index);
    }

    boolean isNewerThan(Invitation other) {
      return term != other.term ? term > other.term : index > other.index;
    }
  }

  private StoreIdentity(
      Disk disk, String fleet, String member, String name, List<VoterId> founders, long lives) {
    this.lives = lives;
    this.disk = disk;
    this.fleet = fleet;
    this.member = member;
    this.name = name;
    this.founders = List.copyOf(founders);
  }

  /**
   * Reads the name of a folder, or gives it one, and counts the process that does so.
   *
   * @throws WrongFolderException if it is another member's, or another fleet's
   * @throws MalformedException if it is not readable, or gone while other files are there
   */
  static StoreIdentity open(Disk disk, String fleet, String member, Random random)
      throws IOException, WrongDataDirectoryException, MalformedException {
    Set<String> files = disk.list();
    if (files.contains(ASIDE)) {
      disk.delete(ASIDE);
    }
    if (files.contains(FILE)) {
      StoreIdentity home = read(disk, disk.read(FILE), fleet, member);
      home.lives++;
      home.write();
      return home;
    }
    if (files.stream().anyMatch(f -> !f.equals(ASIDE) && !f.startsWith(DAMAGED))) {
      throw new MalformedException("the file " + FILE + " is gone");
    }
    StoreIdentity made = new StoreIdentity(disk, fleet, member, draw(random), List.of(), 1);
    made.write();
    return made;
  }

  /** Puts aside whatever is there, in place of what was put aside before, and begins anew. */
  static StoreIdentity renew(Disk disk, String fleet, String member, Random random)
      throws IOException {
    for (String file : disk.list()) {
      if (file.startsWith(DAMAGED)) {
        disk.delete(file);
      }
    }
    // The name goes first: without it nothing of the rest is read again.
    if (disk.list().contains(FILE)) {
      disk.rename(FILE, DAMAGED + FILE);
      disk.syncDirectory();
    }
    for (String file : disk.list()) {
      if (!file.startsWith(DAMAGED)) {
        disk.rename(file, DAMAGED + file);
      }
    }
    disk.syncDirectory();
    StoreIdentity made = new StoreIdentity(disk, fleet, member, draw(random), List.of(), 1);
    made.write();
    return made;
  }

  private static String draw(Random random) {
    return String.format(Locale.ROOT, "%016x", random.nextLong());
  }

  private static StoreIdentity read(Disk disk, byte[] bytes, String fleet, String member)
      throws WrongDataDirectoryException, MalformedException {
    int length = bytes.length - Integer.BYTES;
    if (length < 0
        || ByteBuffer.wrap(bytes, length, Integer.BYTES).getInt() != sum(bytes, length)) {
      throw new MalformedException("the file " + FILE + " is not what was written");
    }
    Fields in = Cbor.read(Arrays.copyOf(bytes, length));
    if (!in.text("fleet").equals(fleet) || !in.text("member").equals(member)) {
      throw new WrongDataDirectoryException(
          "the data folder belongs to " + in.text("member") + " of " + in.text("fleet"));
    }
    List<VoterId> founders = new ArrayList<>();
    for (String founder : in.texts("founders")) {
      founders.add(VoterId.parse(founder));
    }
    StoreIdentity home =
        new StoreIdentity(disk, fleet, member, in.text("home"), founders, in.number("lives"));
    home.invitation = in.has("as") ? Invitation.read(in) : Invitation.NONE;
    return home;
  }

  private static int sum(byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  private void write() throws IOException {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("fleet", fleet);
    out.put("member", member);
    out.put("home", name);
    out.put("lives", lives);
    out.put("founders", founders.stream().map(VoterId::toString).toList());
    invitation.write(out);
    byte[] body = Cbor.write(out);
    try (Disk.Output file = disk.create(ASIDE)) {
      file.write(
          ByteBuffer.allocate(body.length + Integer.BYTES)
              .put(body)
              .putInt(sum(body, body.length))
              .array());
      file.sync();
    }
    disk.rename(ASIDE, FILE);
    disk.syncDirectory();
  }

  String name() {
    return name;
  }

  /** Whose name its votes bear. */
  VoterId voter() {
    return new VoterId(member, invitation.home().isEmpty() ? name : invitation.home());
  }

  Invitation invitation() {
    return invitation;
  }

  /** Votes as somebody new from now on; lasting when this returns. */
  void invite(Invitation by) throws IOException {
    invitation = by;
    write();
  }

  /** How many processes have used this folder, this one among them. */
  long lives() {
    return lives;
  }

  /** The voters at the beginning of the record; empty as long as this folder knows of none. */
  List<VoterId> founders() {
    return founders;
  }

  /** Keeps them; lasting when this returns. */
  void found(List<VoterId> by) throws IOException {
    founders = List.copyOf(by);
    write();
  }
}
