package hazelspoke;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import hazelspoke.agreement.net.FleetSettings;
import hazelspoke.agreement.net.OperatorClient;
import hazelspoke.agreement.record.Command.Note;
import hazelspoke.agreement.record.Command.Numbered;
import hazelspoke.agreement.record.Command.Vouch;
import hazelspoke.agreement.record.CommandResult;
import hazelspoke.agreement.wire.Fields;
import hazelspoke.agreement.wire.MalformedException;
import hazelspoke.config.OperatorConfig;
import hazelspoke.config.OperatorConfigException;
import hazelspoke.net.Addresses;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** What operators see of a fleet, and tell it. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "See a fleet, vouch for the end of a process, change voters, leave notes.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      FleetCommand.Status.class,
      FleetCommand.Check.class,
      FleetCommand.VouchFor.class,
      FleetCommand.Voters.class,
      FleetCommand.Notes.class
    })
final class FleetCommand implements Runnable {
  private static final int UNREACHED = 3;
  private static final int TURNED_DOWN = 4;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Something to do with a member, whichever can be reached. */
  private interface Errand {
    int run(OperatorClient member) throws IOException, MalformedException;
  }

  /** What all of them have in common. */
  private abstract static class OfFleet implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Option(
        names = "--config",
        paramLabel = "FILE",
        description = "The operator's file; default: the variable PUMICETRAY_CONFIG.")
    private Path config;

    @Option(
        names = "--at",
        paramLabel = "HOST:PORT",
        description = "The member to ask; default: the first of the file that answers.")
    private String at;

    @Option(
        names = "--patience",
        paramLabel = "SECONDS",
        description = "How long to try, 1 to 60; default ${DEFAULT-VALUE}.")
    private int patienceS = 10;

    int patienceMs() {
      return Math.max(1, Math.min(60, patienceS)) * 1_000;
    }

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    PrintWriter err() {
      return spec.commandLine().getErr();
    }

    int with(Errand errand) {
      FleetSettings fleet;
      try {
        fleet = settings();
      } catch (OperatorConfigException e) {
        e.errors().forEach(err()::println);
        return 1;
      }
      if (fleet == null) {
        err().println("the operator's file has no section [fleet]");
        return 1;
      }
      String why = "";
      for (InetSocketAddress address : addresses(fleet)) {
        try (OperatorClient member = new OperatorClient(address, fleet.member().fleet())) {
          return errand.run(member);
        } catch (IOException | MalformedException e) {
          why = Addresses.text(address) + ": " + e.getMessage();
          err().println("pumicetray: " + why);
        }
      }
      return UNREACHED;
    }

    private FleetSettings settings() throws OperatorConfigException {
      String file =
          config != null ? config.toString() : System.getenv().get(OperatorConfig.VARIABLE);
      if (file == null) {
        throw new ParameterException(
            spec.commandLine(), "--config is missing, and " + OperatorConfig.VARIABLE + " as well");
      }
      return OperatorConfig.read(Path.of(file), System.getenv()).fleet();
    }

    private Collection<InetSocketAddress> addresses(FleetSettings fleet) {
      if (at == null) {
        return fleet.addresses().values();
      }
      InetSocketAddress address = Addresses.parse(at);
      if (address == null) {
        throw new ParameterException(spec.commandLine(), "--at is no address and port: " + at);
      }
      return List.of(address);
    }

    /** Tells what has become of a command. */
    int tell(CommandResult answer) {
      if (answer.succeeded()) {
        out().println("done");
        return 0;
      }
      err().println("not done: " + answer.reason());
      return TURNED_DOWN;
    }

    /** One that nobody else has, so that a command given twice by mistake is another one. */
    static String origin() {
      return "operator/" + Long.toHexString(new SecureRandom().nextLong());
    }
  }

  /** Prints what one member knows. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = {
        "What a member knows of its fleet, also one that is cut off: then its word is old, and it"
            + " says how old."
      })
  static final class Status extends OfFleet {
    @Option(names = "--json", description = "As JSON.")
    private boolean json;

    @Option(names = "--watch", description = "Again each second, until interrupted.")
    private boolean watch;

    @Override
    public Integer call() throws Exception {
      int status = with(this::print);
      while (watch) {
        Thread.sleep(1_000);
        status = with(this::print);
      }
      return status;
    }

    private int print(OperatorClient member) throws IOException, MalformedException {
      Fields in = member.status();
      out().print(json ? json(in) : text(in));
      out().flush();
      return 0;
    }

    private static String text(Fields in) throws MalformedException {
      StringBuilder out = new StringBuilder();
      out.append(
          String.format(
              Locale.ROOT,
              "%s, as %s knows it, %s%s%n",
              in.text("fleet"),
              in.text("self"),
              in.number("age_ms") < 0
                  ? "current at no known time"
                  : String.format(Locale.ROOT, "current %.1f s ago", in.number("age_ms") / 1e3),
              in.bool("holds") ? "" : "; " + in.text("self") + " is alone: this may be old"));
      String leader = in.text("leader");
      List<String> voters = in.texts("voters");
      out.append(
          String.format(
              "leader %s, voters %s, record up to %d%n",
              leader.isEmpty() ? "unknown" : leader, String.join(" ", voters), in.number("index")));
      Map<String, Fields> sessions = new LinkedHashMap<>();
      for (Fields session : in.list("sessions")) {
        sessions.put(session.text("member"), session);
      }
      List<String> all = new ArrayList<>(in.texts("known"));
      sessions.keySet().stream().filter(s -> !all.contains(s)).forEach(all::add);
      for (String member : all) {
        Fields session = sessions.get(member);
        out.append(
            String.format(
                "  %-12s %-8s %-5s %s%n",
                member,
                session == null ? "never" : session.text("standing").toLowerCase(Locale.ROOT),
                voters.contains(member) ? "votes" : "",
                session == null
                    ? ""
                    : session.text("address") + " incarnation " + session.number("incarnation")));
      }
      return out.toString();
    }

    private static String json(Fields in) throws IOException, MalformedException {
      StringWriter out = new StringWriter();
      try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
        json.useDefaultPrettyPrinter();
        json.writeStartObject();
        for (String text : List.of("fleet", "self", "leader", "alone")) {
          json.writeStringField(text, in.text(text));
        }
        json.writeBooleanField("holds", in.bool("holds"));
        json.writeNumberField("age_ms", in.number("age_ms"));
        json.writeNumberField("index", in.number("index"));
        json.writeArrayFieldStart("voters");
        for (String voter : in.texts("voters")) {
          json.writeString(voter);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("sessions");
        for (Fields session : in.list("sessions")) {
          json.writeStartObject();
          json.writeStringField("member", session.text("member"));
          json.writeStringField("standing", session.text("standing"));
          json.writeStringField("address", session.text("address"));
          json.writeNumberField("incarnation", session.number("incarnation"));
          json.writeNumberField("since", session.number("since"));
          json.writeEndObject();
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      return out + System.lineSeparator();
    }
  }

  /** Says what a further loss would cost. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "What the loss of one more voter would cost. Exit code 4: the record would stop.")
  static final class Check extends OfFleet {
    @Override
    public Integer call() {
      return with(
          member -> {
            Fields in = member.read(patienceMs());
            List<String> voters = in.texts("voters");
            List<String> there = new ArrayList<>();
            for (Fields session : in.list("sessions")) {
              if (session.text("standing").equals("THERE")
                  && voters.contains(session.text("member"))) {
                there.add(session.text("member"));
              }
            }
            int majority = voters.size() / 2 + 1;
            int spare = there.size() - majority;
            out()
                .printf(
                    "%d of %d voters are there (%s); a majority is %d%n",
                    there.size(), voters.size(), String.join(" ", there), majority);
            out()
                .println(
                    spare > 0
                        ? "the record bears the loss of " + spare + " more"
                        : "the loss of one more stops the record: nothing can be agreed on then,"
                            + " requests are served as before");
            out().flush();
            return spare > 0 ? 0 : TURNED_DOWN;
          });
    }
  }

  /** Declares a process over. */
  @Command(
      name = "vouch",
      mixinStandardHelpOptions = true,
      description = {
        "Declare that the process of a silent member is over. If it still runs, what it does is on"
            + " you: end it first, or cut its power."
      })
  static final class VouchFor extends OfFleet {
    @Parameters(paramLabel = "NAME", description = "The member.")
    private String name;

    @Override
    public Integer call() {
      Numbered command = new Numbered(origin(), 1, new Vouch(name));
      return with(member -> tell(member.command(command, patienceMs())));
    }
  }

  /** Changes whose votes count. */
  @Command(
      name = "voters",
      mixinStandardHelpOptions = true,
      description = {
        "Make a member a voter, or end its vote. To replace one whose disk is lost: vouch for its"
            + " end, start it with an empty folder, then add it; what it was before is removed."
      })
  static final class Voters extends OfFleet {
    /** Which way. */
    enum Change {
      ADD,
      REMOVE
    }

    @Parameters(index = "0", paramLabel = "add|remove", description = "${COMPLETION-CANDIDATES}")
    private Change change;

    @Parameters(index = "1", paramLabel = "NAME", description = "The member.")
    private String name;

    @Override
    public Integer call() {
      return with(member -> tell(member.voter(change == Change.ADD, name, patienceMs())));
    }
  }

  /** Reads and writes notes. */
  @Command(
      name = "note",
      mixinStandardHelpOptions = true,
      description = {
        "Read a note as it is now, or write one. All members agree on it; what was acknowledged is"
            + " never lost."
      })
  static final class Notes extends OfFleet {
    @Parameters(index = "0", paramLabel = "KEY", description = "Its name.")
    private String key;

    @Parameters(index = "1", arity = "0..1", paramLabel = "VALUE", description = "The new text.")
    private String value;

    @Option(
        names = "--version",
        paramLabel = "N",
        description = "Write only if it has this version, 0 for none yet.")
    private long expected = -1;

    @Override
    public Integer call() {
      if (value == null) {
        return with(this::print);
      }
      Numbered command = new Numbered(origin(), 1, new Note(key, expected, value));
      return with(member -> tell(member.command(command, patienceMs())));
    }

    private int print(OperatorClient member) throws IOException, MalformedException {
      for (Fields note : member.read(patienceMs()).list("notes")) {
        if (note.text("key").equals(key)) {
          out().println(note.text("value"));
          err().println("version " + note.number("version"));
          return 0;
        }
      }
      err().println("there is no note " + key);
      return TURNED_DOWN;
    }
  }
}
