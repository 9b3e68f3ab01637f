package hazelspoke;

import hazelspoke.node.ClassArchive;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** For its help: {@code archive} alone never comes here. */
@Command(
    name = "archive",
    mixinStandardHelpOptions = true,
    description =
        "Run two gateways for a moment, so that the JVM can keep an archive of the classes that a"
            + " gateway loads. Part of deploy/build.sh.")
final class ArchiveCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    return ClassArchive.run(System.err);
  }
}
