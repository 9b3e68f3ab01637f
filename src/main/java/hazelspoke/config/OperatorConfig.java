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
 * The operator's file, such as {@code deploy/pumicetray.toml}. Features that it does not name are
 * off.
 *
 * @param fleet null if there is no section of that name
 */
public record OperatorConfig(FleetSettings fleet) {
  /** Environment variable with the path of the file. */
  public static final String VARIABLE = "PUMICETRAY_CONFIG";

  /** Environment variable with the member's name, for a file that is the same on all machines. */
  public static final String SELF_VARIABLE = "PUMICETRAY_MEMBER";

  /** Whether a connection refused by a machine ends the session of an unresponsive member. */
  private enum Refusal {
    COUNTS,
    IGNORED
  }

  private static final double NANOS_PER_S = 1e9;
  private static final double NANOS_PER_MS = 1e6;

  /**
   * Reads the file.
   *
   * @param environment may contain the member's name
   * @throws OperatorConfigException with all errors in the file
   */
  public static OperatorConfig read(Path file, Map<String, String> environment)
      throws OperatorConfigException {
    List<String> errors = new ArrayList<>();
    TomlParseResult parsed;
    try {
      parsed = Toml.parse(file);
    } catch (IOException e) {
      throw new OperatorConfigException(
          List.of(
              file + ": cannot be read: " + (Files.exists(file) ? e : "there is no such file")));
    }
    for (TomlParseError error : parsed.errors()) {
      errors.add(file + ":" + error.position().line() + ": " + error.getMessage());
    }
    TomlSection top = new TomlSection(file.toString(), "", parsed, errors);
    FleetSettings fleet = null;
    if (errors.isEmpty()) {
      if (top.has("fleet")) {
        fleet = fleet(file, top.section("fleet"), environment);
      }
      top.rejectUnknownKeys();
    }
    if (!errors.isEmpty()) {
      throw new OperatorConfigException(errors);
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
      in.error("members", "are more than " + FleetRecord.MAX_SESSIONS);
    }
    checkUniqueAddresses(in, addresses);
    String self = environment.get(SELF_VARIABLE);
    if (self == null || in.has("self")) {
      self = in.text("self");
    }
    checkMember(in, "self", self, members.keys());
    List<String> voters = voters(in, members.keys());
    double termS = in.number("term_s", MemberSettings.DEFAULT_LEASE_NANOS / NANOS_PER_S, 1, 600);
    double heartbeatMs =
        in.number("heartbeat_ms", MemberSettings.DEFAULT_HEARTBEAT_NANOS / NANOS_PER_MS, 20, 5_000);
    if (heartbeatMs * 8 > termS * 1_000) {
      in.error("heartbeat_ms", "a term must be at least eight heartbeats");
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
            in.enumValue("refusal", Refusal.COUNTS) == Refusal.COUNTS);
    InetSocketAddress listen = in.has("listen") ? address(in, "listen") : addresses.get(self);
    FleetSettings.PartitionPolicy partitionPolicy =
        in.enumValue("alone", FleetSettings.PartitionPolicy.SERVE);
    Path data = data(file, in);
    in.rejectUnknownKeys();
    return new FleetSettings(member, addresses, listen, data, partitionPolicy);
  }

  private static InetSocketAddress address(TomlSection in, String key) {
    InetSocketAddress address = Addresses.parse(in.text(key));
    if (address == null) {
      in.error(key, "expected a numeric address and a port, such as 10.0.0.4:7400");
    }
    return address;
  }

  private static void checkUniqueAddresses(
      TomlSection in, Map<String, InetSocketAddress> addresses) {
    Set<InetSocketAddress> seen = new HashSet<>();
    addresses.forEach(
        (member, address) -> {
          if (!seen.add(address)) {
            in.error("members", "two members have the address " + Addresses.text(address));
          }
        });
  }

  private static void checkMember(TomlSection in, String key, String name, Set<String> members) {
    if (!name.isEmpty() && !members.contains(name)) {
      String closest = TomlSection.closest(name, members);
      in.error(
          key,
          "there is no member "
              + name
              + (closest == null ? "" : "; did you mean " + closest + "?"));
    }
  }

  private static List<String> voters(TomlSection in, Set<String> members) {
    List<String> voters = in.strings("voters");
    for (String voter : voters) {
      checkMember(in, "voters", voter, members);
    }
    Set<String> distinct = new HashSet<>(voters);
    if (distinct.size() != voters.size()) {
      in.error("voters", "one is named twice");
    } else if (!voters.isEmpty() && (voters.size() % 2 == 0 || voters.size() > 7)) {
      in.error("voters", "expected 1, 3, 5 or 7: an even number tolerates no more failures");
    }
    return voters;
  }

  private static Path data(Path file, TomlSection in) {
    String text = in.text("data");
    try {
      Path folder = file.toAbsolutePath().getParent();
      return folder.resolve(text).normalize();
    } catch (InvalidPathException e) {
      in.error("data", "is not a path: " + e.getReason());
      return Path.of("");
    }
  }
}
