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

/** Shows and changes the state of a fleet for operators. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Show a fleet, confirm that a process has ended, change voters, write notes.",
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      FleetCommand.StatusCommand.class,
      FleetCommand.CheckCommand.class,
      FleetCommand.VouchCommand.class,
      FleetCommand.VotersCommand.class,
      FleetCommand.NoteCommand.class
    })
final class FleetCommand implements Runnable {
  private static final int NO_MEMBER_REACHED = 3;
  private static final int REJECTED = 4;

  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** An action on the first member that can be reached. */
  private interface MemberAction {
    int run(OperatorClient member) throws IOException, MalformedException;
  }

  /** Options and connection handling of all fleet commands. */
  private abstract static class MemberCommand implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Option(
        names = "--config",
        paramLabel = "FILE",
        description = "The operator's file; default: the variable PUMICETRAY_CONFIG.")
    private Path config;

    @Option(
        names = "--at",
        paramLabel = "HOST:PORT",
        description = "The member to contact; default: the first in the file that responds.")
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

    int withMember(MemberAction action) {
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
      String failure = "";
      for (InetSocketAddress address : addresses(fleet)) {
        try (OperatorClient member = new OperatorClient(address, fleet.member().fleet())) {
          return action.run(member);
        } catch (IOException | MalformedException e) {
          failure = Addresses.text(address) + ": " + e.getMessage();
          err().println("pumicetray: " + failure);
        }
      }
      return NO_MEMBER_REACHED;
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
        throw new ParameterException(
            spec.commandLine(), "--at is not an address with a port: " + at);
      }
      return List.of(address);
    }

    /** Prints the outcome of a command. */
    int printOutcome(CommandResult answer) {
      if (answer.succeeded()) {
        out().println("done");
        return 0;
      }
      err().println("not done: " + answer.reason());
      return REJECTED;
    }

    /** Returns a unique origin, so that a command entered twice counts as two commands. */
    static String origin() {
      return "operator/" + Long.toHexString(new SecureRandom().nextLong());
    }
  }

  /** Prints the state that one member knows. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = {
        "Print the state of the fleet as a member knows it. A partitioned member prints an outdated"
            + " state and its age."
      })
  static final class StatusCommand extends MemberCommand {
    @Option(names = "--json", description = "Print JSON.")
    private boolean json;

    @Option(names = "--watch", description = "Repeat every second until interrupted.")
    private boolean watch;

    @Override
    public Integer call() throws Exception {
      int status = withMember(this::print);
      while (watch) {
        Thread.sleep(1_000);
        status = withMember(this::print);
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
                  ? "of unknown age"
                  : String.format(Locale.ROOT, "current %.1f s ago", in.number("age_ms") / 1e3),
              in.bool("holds")
                  ? ""
                  : "; " + in.text("self") + " is partitioned: this may be outdated"));
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

  /** Checks whether the record tolerates the loss of another voter. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "Check the effect of losing one more voter. Exit code 4: the record would become unavailable.")
  static final class CheckCommand extends MemberCommand {
    @Override
    public Integer call() {
      return withMember(
          member -> {
            Fields in = member.read(patienceMs());
            List<String> voters = in.texts("voters");
            List<String> active = new ArrayList<>();
            for (Fields session : in.list("sessions")) {
              if (session.text("standing").equals("THERE")
                  && voters.contains(session.text("member"))) {
                active.add(session.text("member"));
              }
            }
            int majority = voters.size() / 2 + 1;
            int spareVoters = active.size() - majority;
            out()
                .printf(
                    "%d of %d voters are active (%s); a majority is %d%n",
                    active.size(), voters.size(), String.join(" ", active), majority);
            out()
                .println(
                    spareVoters > 0
                        ? "the record tolerates the loss of " + spareVoters + " more"
                        : "the loss of one more makes the record unavailable: it accepts no commands then,"
                            + " requests are served as before");
            out().flush();
            return spareVoters > 0 ? 0 : REJECTED;
          });
    }
  }

  /** Confirms that a process has ended. */
  @Command(
      name = "vouch",
      mixinStandardHelpOptions = true,
      description = {
        "Confirm that the process of an unresponsive member has ended. If it still runs, the record's"
            + " guarantees are void: end it first, or cut its power."
      })
  static final class VouchCommand extends MemberCommand {
    @Parameters(paramLabel = "NAME", description = "The member.")
    private String name;

    @Override
    public Integer call() {
      Numbered command = new Numbered(origin(), 1, new Vouch(name));
      return withMember(member -> printOutcome(member.command(command, patienceMs())));
    }
  }

  /** Adds or removes a voter. */
  @Command(
      name = "voters",
      mixinStandardHelpOptions = true,
      description = {
        "Add or remove a voter. To replace one whose disk is lost: confirm its end with vouch, start"
            + " it with an empty folder, then add it; its former identity is removed."
      })
  static final class VotersCommand extends MemberCommand {
    /** Direction of the change. */
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
      return withMember(
          member -> printOutcome(member.voter(change == Change.ADD, name, patienceMs())));
    }
  }

  /** Reads and writes notes. */
  @Command(
      name = "note",
      mixinStandardHelpOptions = true,
      description = {
        "Read the current value of a note, or write one. All members agree on it; acknowledged"
            + " writes are never lost."
      })
  static final class NoteCommand extends MemberCommand {
    @Parameters(index = "0", paramLabel = "KEY", description = "Its name.")
    private String key;

    @Parameters(index = "1", arity = "0..1", paramLabel = "VALUE", description = "The new text.")
    private String value;

    @Option(
        names = "--version",
        paramLabel = "N",
        description = "Write only if the note has this version; 0 if it must not exist.")
    private long expected = -1;

    @Override
    public Integer call() {
      if (value == null) {
        return withMember(this::print);
      }
      Numbered command = new Numbered(origin(), 1, new Note(key, expected, value));
      return withMember(member -> printOutcome(member.command(command, patienceMs())));
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
      return REJECTED;
    }
  }
}
