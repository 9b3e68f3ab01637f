package hazelspoke.config;

import hazelspoke.agreement.member.MemberSettings;
import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.agreement.record.FleetRecord;
import hazelspoke.net.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * The operator's file, such as {@code deploy/pumicetray.toml}. What it does not name is off.
 *
 * @param fleet null where there is no section of that name
 */
public record OperatorConfig(FleetSettings fleet) {
  /** Names the file. */
  public static final String VARIABLE = "PUMICETRAY_CONFIG";

  /** Names the member, where all machines have the same file. */
  public static final String SELF_VARIABLE = "PUMICETRAY_MEMBER";

  /** Whether a machine's refusal ends a silent member's session. */
  private enum Refusal {
    COUNTS,
    IGNORED
  }

  private static final double NANOS_PER_S = 1e9;
  private static final double NANOS_PER_MS = 1e6;

  /**
   * Reads the file.
   *
   * @param environment may name the member
   * @throws OperatorConfigException with all that is wrong
   */
  public static OperatorConfig read(Path file, Map<String, String> environment)
      throws OperatorConfigException {
    List<String> complaints = new ArrayList<>();
    TomlParseResult parsed;
    try {
      parsed = Toml.parse(file);
    } catch (IOException e) {
      throw new OperatorConfigException(
          List.of(
              file + ": cannot be read: " + (Files.exists(file) ? e : "there is no such file")));
    }
    for (TomlParseError error : parsed.errors()) {
      complaints.add(file + ":" + error.position().line() + ": " + error.getMessage());
    }
    TomlSection top = new TomlSection(file.toString(), "", parsed, complaints);
    FleetSettings fleet = null;
    if (complaints.isEmpty()) {
      if (top.has("fleet")) {
        fleet = fleet(file, top.section("fleet"), environment);
      }
      top.noOthers();
    }
    if (!complaints.isEmpty()) {
      throw new OperatorConfigException(complaints);
    }
    return new OperatorConfig(fleet);
  }

  private static FleetSettings fleet(Path file, TomlSection in, Map<String, String> environment) {
    String name = in.text("name");
    TomlSection members = in.section("members");
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    for (String member : members.keys()) {
      InetSocketAddress address = address(members, member);
      if (address != null) {
        addresses.put(member, address);
      }
    }
    if (members.keys().size() > FleetRecord.MAX_SESSIONS) {
      in.complain("members", "are more than " + FleetRecord.MAX_SESSIONS);
    }
    unique(in, addresses);
    String self = environment.get(SELF_VARIABLE);
    if (self == null || in.has("self")) {
      self = in.text("self");
    }
    isMember(in, "self", self, members.keys());
    List<String> voters = voters(in, members.keys());
    double termS = in.number("term_s", MemberSettings.DEFAULT_LEASE_NANOS / NANOS_PER_S, 1, 600);
    double heartbeatMs =
        in.number("heartbeat_ms", MemberSettings.DEFAULT_HEARTBEAT_NANOS / NANOS_PER_MS, 20, 5_000);
    if (heartbeatMs * 8 > termS * 1_000) {
      in.complain("heartbeat_ms", "a term has to be eight heartbeats or longer");
    }
    MemberSettings member =
        new MemberSettings(
            name,
            self,
            members.text(self, ""),
            List.copyOf(new TreeSet<>(addresses.keySet())),
            voters,
            (long) (termS * NANOS_PER_S),
            in.number("drift", MemberSettings.DEFAULT_DRIFT, 0, 0.1),
            (long) (heartbeatMs * NANOS_PER_MS),
            (int) in.number("snapshot_every", MemberSettings.DEFAULT_SNAPSHOT_EVERY, 10, 1_000_000),
            in.one("refusal", Refusal.COUNTS) == Refusal.COUNTS);
    InetSocketAddress listen = in.has("listen") ? address(in, "listen") : addresses.get(self);
    FleetSettings.PartitionPolicy alone = in.one("alone", FleetSettings.PartitionPolicy.SERVE);
    Path data = data(file, in);
    in.noOthers();
    return new FleetSettings(member, addresses, listen, data, alone);
  }

  private static InetSocketAddress address(TomlSection in, String key) {
    InetSocketAddress address = Addresses.parse(in.text(key));
    if (address == null) {
      in.complain(key, "expected an address in figures and a port, such as 10.0.0.4:7400");
    }
    return address;
  }

  private static void unique(TomlSection in, Map<String, InetSocketAddress> addresses) {
    Set<InetSocketAddress> seen = new HashSet<>();
    addresses.forEach(
        (member, address) -> {
          if (!seen.add(address)) {
            in.complain("members", "two have the address " + Addresses.text(address));
          }
        });
  }

  private static void isMember(TomlSection in, String key, String name, Set<String> members) {
    if (!name.isEmpty() && !members.contains(name)) {
      String near = TomlSection.near(name, members);
      in.complain(
          key, "there is no member " + name + (near == null ? "" : "; did you mean " + near + "?"));
    }
  }

  private static List<String> voters(TomlSection in, Set<String> members) {
    List<String> voters = in.texts("voters");
    for (String voter : voters) {
      isMember(in, "voters", voter, members);
    }
    Set<String> different = new HashSet<>(voters);
    if (different.size() != voters.size()) {
      in.complain("voters", "one is named twice");
    } else if (!voters.isEmpty() && (voters.size() % 2 == 0 || voters.size() > 7)) {
      in.complain("voters", "expected 1, 3, 5 or 7: an even number bears no more losses");
    }
    return voters;
  }

  private static Path data(Path file, TomlSection in) {
    String text = in.text("data");
    try {
      Path folder = file.toAbsolutePath().getParent();
      return folder.resolve(text).normalize();
    } catch (InvalidPathException e) {
      in.complain("data", "is no path: " + e.getReason());
      return Path.of("");
    }
  }
}
