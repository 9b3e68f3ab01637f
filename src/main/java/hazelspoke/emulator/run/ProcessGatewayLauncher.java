package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Runs gateways as the deployment does: in processes of their own, with the command line {@code
 * run} including its memory limits, and with the script's limit of file descriptors.
 */
public final class ProcessGatewayLauncher implements GatewayLauncher {
  private final Path home;
  private final String command;
  private final int maxDescriptors;

  /**
   * @param home the root of the repository
   * @throws IOException if its deploy file has no command line
   */
  public ProcessGatewayLauncher(Path home, int maxDescriptors) throws IOException {
    this(home, deployedCommand(home.resolve("deploy/balancer.toml")), maxDescriptors);
  }

  /** Uses the given command line, run in the folder {@code home}. */
  ProcessGatewayLauncher(Path home, String command, int maxDescriptors) {
    this.home = home;
    this.command = command;
    this.maxDescriptors = maxDescriptors;
  }

  private static String deployedCommand(Path file) throws IOException {
    TomlParseResult deploy = Toml.parse(Files.readString(file));
    String command = deploy.hasErrors() ? null : deploy.getString("run");
    if (command == null) {
      throw new IOException(file + " has no command line named run");
    }
    return command;
  }

  @Override
  public GatewayHandle launch(String name, Map<String, String> environment, Path log)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + maxDescriptors + "; " + command)
            .directory(home.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putAll(environment);
    return new OsProcess(builder.start());
  }
}
