import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A record is created with one voter and grows to three; then the first voter's disk is lost, and it
 * is started again with an empty data directory.
 */
final class Split extends Standin {
  private static final int MEMBERS = 3;
  private static final double SETTLE_S = 15;

  /** The end of one command of an operator. */
  private record Outcome(int code, String out, String err) {}

  private static Path root;
  private static Path temporary;
  private static final String[] RECORD_ADDRESSES = new String[MEMBERS];
  private static final Path[] FILES = new Path[MEMBERS];
  private static final GatewayProcess[] GATEWAYS = new GatewayProcess[MEMBERS];

  public static void main(String[] args) throws Exception {
    root = Path.of(args[0]);
    Path folder = Path.of(args[1]);
    temporary = Path.of(args[2]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    List<Host> hosts = new ArrayList<>();
    String[] zones = {"eldorado", "montecarlo", "puerto-rico", "posadas"};
    for (int i = 0; i < 4; i++) {
      hosts.add(new Host("s-" + i, zones[i], i));
    }
    Discovery discovery = new Discovery(hosts);
    String members = "";
    for (int i = 0; i < MEMBERS; i++) {
      RECORD_ADDRESSES[i] = "127.0.0.1:" + freePort();
      members += "g" + (i + 1) + " = \"" + RECORD_ADDRESSES[i] + "\"\n";
    }
    for (int i = 0; i < MEMBERS; i++) {
      FILES[i] = temporary.resolve("g" + (i + 1) + ".toml");
      Files.writeString(
          FILES[i],
          "[fleet]\nname = \"alto-parana\"\nvoters = [\"g1\"]\ndata = \"" + data(i)
              + "\"\nterm_s = 10\ndrift = 0.01\nalone = \"serve\"\nheartbeat_ms = 250\n"
              + "refusal = \"counts\"\n\n[fleet.members]\n" + members);
      start(i, "127.0.0.1:" + freePort(), discovery);
    }
    for (GatewayProcess gateway : GATEWAYS) {
      if (!gateway.awaitReady()) {
        quit(2, folder, "a gateway did not become ready at first");
      }
    }
    boolean grown =
        fleet("voters", "add", "g2").code() == 0
            && fleet("voters", "add", "g3").code() == 0
            && fleet("note", "policy", "first").code() == 0;
    if (!grown || !current(1).equals("first")) {
      quit(2, folder, "the record did not grow to three voters");
    }
    fleet("status");
    say("three voters; the note 'policy' was acknowledged as 'first'");
    GATEWAYS[0].kill();
    if (trouble) {
      Files.move(data(0), temporary.resolve("lost"));
      say("g1 was killed and its data directory is lost; it is started again with an empty one");
    } else {
      say("g1 was killed; it is started again with its data directory");
    }
    start(0, GATEWAYS[0].address, discovery);
    pause(SETTLE_S);
    for (String address : RECORD_ADDRESSES) {
      fleet("status", "--at", address);
    }
    // An answer that says it is current has to have the last acknowledged value; none is allowed.
    boolean broken = askAll("first");
    Outcome atG1 = fleet("note", "policy", "by-g1", "--at", RECORD_ADDRESSES[0]);
    Outcome atG2 = fleet("note", "policy", "by-g2", "--at", RECORD_ADDRESSES[1]);
    say("writes at g1, then at g2: exit %d, exit %d", atG1.code(), atG2.code());
    if (atG2.code() == 0) {
      broken |= askAll("by-g2");
    }
    quit(broken ? 1 : 0, folder, broken ? "the rule was broken" : "the rule held");
  }

  /** Asks every member for the current value; returns whether any answer has another one. */
  private static boolean askAll(String acknowledged) throws Exception {
    boolean wrong = false;
    for (int i = 0; i < MEMBERS; i++) {
      String value = current(i);
      say("the current value of the note, asked at g%d: %s", i + 1, value);
      wrong |= !value.equals(acknowledged) && !value.equals("no answer");
    }
    return wrong;
  }

  private static Path data(int i) {
    return temporary.resolve("data-g" + (i + 1));
  }

  private static void start(int i, String address, Discovery discovery) throws IOException {
    String name = "g" + (i + 1);
    Map<String, String> environment =
        Map.of("PUMICETRAY_MEMBER", name, "PUMICETRAY_CONFIG", FILES[i].toString());
    GATEWAYS[i] = new GatewayProcess(root, temporary, name, address, discovery, environment);
  }

  /** The current value of the note, as `fleet note` prints it. */
  private static String current(int i) throws Exception {
    Outcome outcome = fleet("note", "policy", "--at", RECORD_ADDRESSES[i]);
    return switch (outcome.code()) {
      case 0 -> outcome.out().trim();
      case 4 -> "(no such note)";
      default -> "no answer";
    };
  }

  /** Runs `pumicetray fleet`, as an operator does. */
  private static Outcome fleet(String... arguments) throws Exception {
    List<String> command = new ArrayList<>(List.of("java", "-jar", "target/hazelspoke.jar", "fleet"));
    command.addAll(List.of(arguments));
    command.addAll(List.of("--config", FILES[1].toString()));
    Path out = temporary.resolve("out");
    Path err = temporary.resolve("err");
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("PUMICETRAY_MEMBER", "g2");
    Process process = builder.redirectOutput(out.toFile()).redirectError(err.toFile()).start();
    if (!process.waitFor(45, TimeUnit.SECONDS)) {
      process.destroyForcibly().waitFor();
    }
    Outcome outcome =
        new Outcome(
            process.exitValue(),
            Files.readString(out, StandardCharsets.UTF_8),
            Files.readString(err, StandardCharsets.UTF_8));
    record("fleet %s: exit %d%n%s%s", String.join(" ", arguments), outcome.code(), outcome.out(), outcome.err());
    return outcome;
  }

  private static void quit(int code, Path folder, String text) throws Exception {
    for (GatewayProcess gateway : GATEWAYS) {
      gateway.end();
    }
    say(text);
    writeRecord(folder);
    System.exit(code);
  }
}
