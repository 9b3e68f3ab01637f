package hazelspoke;

import hazelspoke.node.ClassArchive;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Provides the help of {@code archive}; {@link Main} runs the command itself. */
@Command(
    name = "archive",
    mixinStandardHelpOptions = true,
    description =
        "Run two gateways briefly, so that the JVM can create an archive of the classes that a"
            + " gateway loads. Part of deploy/build.sh.")
final class ArchiveCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return ClassArchive.run(System.err);
  }
}
