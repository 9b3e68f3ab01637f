package hazelspoke.emulator.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Gateways as the deployment runs them: processes of their own with the command line of {@code
 * run}, its limits of memory among it, and the limit of descriptors that the script has.
 */
public final class ProcessGatewayLauncher implements GatewayLauncher {
  private final Path home;
  private final String run;
  private final int sockets;

  /**
   * @param home the root of the repository
   * @throws IOException when the deploy file there has no command line
   */
  public ProcessGatewayLauncher(Path home, int sockets) throws IOException {
    this(home, deployed(home.resolve("deploy/balancer.toml")), sockets);
  }

  /** Gateways by another command line, in this folder. */
  ProcessGatewayLauncher(Path home, String run, int sockets) {
    this.home = home;
    this.run = run;
    this.sockets = sockets;
  }

  private static String deployed(Path file) throws IOException {
    TomlParseResult deploy = Toml.parse(Files.readString(file));
    String run = deploy.hasErrors() ? null : deploy.getString("run");
    if (run == null) {
      throw new IOException(file + " has no command line named run");
    }
    return run;
  }

  @Override
  public GatewayHandle launch(String name, Map<String, String> environment, Path log)
      throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + sockets + "; " + run)
            .directory(home.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().putAll(environment);
    return new OsProcess(builder.start());
  }
}
