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
 * The unique store id of a data directory, which is generated when the directory is new, with what
 * has to persist beside it. Votes and sessions name the id, so that a new directory is never taken
 * for one that was lost.
 */
final class StoreIdentity {
  private static final String FILE = "member";
  private static final String TEMP_FILE = "aside-member";
  private static final String DAMAGED_PREFIX = "damaged-";

  private final Disk disk;
  private final String fleet;
  private final String member;
  private final String storeId;
  private List<VoterId> founders;
  private long processEpoch;
  private Invitation invitation = Invitation.NONE;

  /**
   * The identity under which this store votes after it was made a voter, and the committed entry
   * that says so.
   *
   * @param voterStoreId replaces the store id in the voter's name; empty before the first
   *     invitation
   * @param term the term of the leader that sent the invitation
   * @param index the index of the entry
   */
  record Invitation(String voterStoreId, long term, long index) {
    static final Invitation NONE = new Invitation("", 0, 0);

    static Invitation read(Fields in) throws MalformedException {
      return new Invitation(in.text("as"), in.number("term"), in.number("index"));
    }

    void write(Map<String, Object> out) {
      out.put("as", voterStoreId);
      out.put("term", term);
      out.put("index", index);
    }

    boolean isNewerThan(Invitation other) {
      return term != other.term ? term > other.term : index > other.index;
    }
  }

  private StoreIdentity(
      Disk disk,
      String fleet,
      String member,
      String storeId,
      List<VoterId> founders,
      long processEpoch) {
    this.processEpoch = processEpoch;
    this.disk = disk;
    this.fleet = fleet;
    this.member = member;
    this.storeId = storeId;
    this.founders = List.copyOf(founders);
  }

  /**
   * Reads the identity of a data directory, or creates one, and increments the process epoch.
   *
   * @throws WrongDataDirectoryException if the directory belongs to another member or fleet
   * @throws MalformedException if the identity is unreadable, or missing while other files exist
   */
  static StoreIdentity open(Disk disk, String fleet, String member, Random random)
      throws IOException, WrongDataDirectoryException, MalformedException {
    Set<String> files = disk.list();
    if (files.contains(TEMP_FILE)) {
      disk.delete(TEMP_FILE);
    }
    if (files.contains(FILE)) {
      StoreIdentity identity = read(disk, disk.read(FILE), fleet, member);
      identity.processEpoch++;
      identity.write();
      return identity;
    }
    if (files.stream().anyMatch(f -> !f.equals(TEMP_FILE) && !f.startsWith(DAMAGED_PREFIX))) {
      throw new MalformedException("the file " + FILE + " is missing");
    }
    StoreIdentity created = new StoreIdentity(disk, fleet, member, randomId(random), List.of(), 1);
    created.write();
    return created;
  }

  /** Renames all files as damaged, deletes those renamed earlier, and creates a new identity. */
  static StoreIdentity replace(Disk disk, String fleet, String member, Random random)
      throws IOException {
    for (String file : disk.list()) {
      if (file.startsWith(DAMAGED_PREFIX)) {
        disk.delete(file);
      }
    }
    // The identity is renamed first: without it, no other file is ever read again.
    if (disk.list().contains(FILE)) {
      disk.rename(FILE, DAMAGED_PREFIX + FILE);
      disk.syncDirectory();
    }
    for (String file : disk.list()) {
      if (!file.startsWith(DAMAGED_PREFIX)) {
        disk.rename(file, DAMAGED_PREFIX + file);
      }
    }
    disk.syncDirectory();
    StoreIdentity created = new StoreIdentity(disk, fleet, member, randomId(random), List.of(), 1);
    created.write();
    return created;
  }

  private static String randomId(Random random) {
    return String.format(Locale.ROOT, "%016x", random.nextLong());
  }

  private static StoreIdentity read(Disk disk, byte[] bytes, String fleet, String member)
      throws WrongDataDirectoryException, MalformedException {
    int length = bytes.length - Integer.BYTES;
    if (length < 0
        || ByteBuffer.wrap(bytes, length, Integer.BYTES).getInt() != checksum(bytes, length)) {
      throw new MalformedException("the file " + FILE + " has a wrong checksum");
    }
    Fields in = Cbor.read(Arrays.copyOf(bytes, length));
    if (!in.text("fleet").equals(fleet) || !in.text("member").equals(member)) {
      throw new WrongDataDirectoryException(
          "the data directory belongs to member "
              + in.text("member")
              + " of fleet "
              + in.text("fleet"));
    }
    List<VoterId> founders = new ArrayList<>();
    for (String founder : in.texts("founders")) {
      founders.add(VoterId.parse(founder));
    }
    StoreIdentity identity =
        new StoreIdentity(disk, fleet, member, in.text("home"), founders, in.number("lives"));
    identity.invitation = in.has("as") ? Invitation.read(in) : Invitation.NONE;
    return identity;
  }

  private static int checksum(byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  private void write() throws IOException {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("fleet", fleet);
    out.put("member", member);
    out.put("home", storeId);
    out.put("lives", processEpoch);
    out.put("founders", founders.stream().map(VoterId::toString).toList());
    invitation.write(out);
    byte[] body = Cbor.write(out);
    try (Disk.Output file = disk.create(TEMP_FILE)) {
      file.write(
          ByteBuffer.allocate(body.length + Integer.BYTES)
              .put(body)
              .putInt(checksum(body, body.length))
              .array());
      file.sync();
    }
    disk.rename(TEMP_FILE, FILE);
    disk.syncDirectory();
  }

  String storeId() {
    return storeId;
  }

  /** Returns the identity under which this store votes. */
  VoterId voterId() {
    return new VoterId(
        member, invitation.voterStoreId().isEmpty() ? storeId : invitation.voterStoreId());
  }

  Invitation invitation() {
    return invitation;
  }

  /** Stores an invitation, which gives the store a new voter identity; durable on return. */
  void acceptInvitation(Invitation accepted) throws IOException {
    invitation = accepted;
    write();
  }

  /** Returns how many processes have used this data directory, including this one. */
  long processEpoch() {
    return processEpoch;
  }

  /** Returns the initial voters of the record; empty while this store has no record. */
  List<VoterId> founders() {
    return founders;
  }

  /** Stores the initial voters; durable on return. */
  void writeFounders(List<VoterId> accepted) throws IOException {
    founders = List.copyOf(accepted);
    write();
  }
}
