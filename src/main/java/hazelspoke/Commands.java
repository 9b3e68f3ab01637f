package hazelspoke;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The interactive commands, one class each, and their help. */
@Command(
    name = "pumicetray",
    mixinStandardHelpOptions = true,
    versionProvider = Commands.Version.class,
    description = "A load-balancing HTTP gateway, and rehearsals of its failures.",
    synopsisSubcommandLabel = "COMMAND",
    footer = {
      "",
      "First steps:  pumicetray demo",
      "              pumicetray rehearse rehearsals/harvest-afternoon.toml --html page.html"
    },
    subcommands = {
      DemoCommand.class,
      RehearseCommand.class,
      CompareCommand.class,
      TormentCommand.class,
      FleetCommand.class,
      BenchCommand.class,
      ServeCommand.class,
      AdapterCommand.class,
      ArchiveCommand.class,
      StockServerCommand.class
    })
final class Commands implements Runnable {
  @Spec private CommandSpec spec;

  static int run(String[] args) {
    return new CommandLine(new Commands()).setCaseInsensitiveEnumValuesAllowed(true).execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Reads the version from the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() throws IOException {
      Properties properties = new Properties();
      try (InputStream in =
          Commands.class.getResourceAsStream(
              "/META-INF/maven/hazelspoke/hazelspoke/pom.properties")) {
        if (in != null) {
          properties.load(in);
        }
      }
      return new String[] {"pumicetray " + properties.getProperty("version", "(not packaged)")};
    }
  }
}
