package hazelspoke.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads the JVM flags of the gateway from the {@code run} command of the deployment file. */
final class RunFlags {
  private RunFlags() {}

  /**
   * Reads the flags from the deployment file.
   *
   * @throws IOException if it cannot be read or {@code run} is no {@code java -jar} command
   */
  static List<String> read(Path file) throws IOException {
    TomlParseResult toml = Toml.parse(Files.readString(file));
    String run = toml.isString("run") ? toml.getString("run") : "";
    List<String> words = List.of(run.split("\\s+"));
    int java = words.indexOf("java");
    int jar = words.indexOf("-jar");
    if (java < 0 || jar < java) {
      throw new IOException(file + ": run: not a java -jar command: " + run);
    }
    return List.copyOf(words.subList(java + 1, jar));
  }
}
