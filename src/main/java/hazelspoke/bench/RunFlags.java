package hazelspoke.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** The flags that the deployment gives the gateway's JVM: those of {@code run}. */
final class RunFlags {
  private RunFlags() {}

  /**
   * Reads them from the deployment's file.
   *
   * @throws IOException when it cannot be read or {@code run} starts no jar
   */
  static List<String> read(Path file) throws IOException {
    TomlParseResult toml = Toml.parse(Files.readString(file));
    String run = toml.isString("run") ? toml.getString("run") : "";
    List<String> words = List.of(run.split("\\s+"));
    int java = words.indexOf("java");
    int jar = words.indexOf("-jar");
    if (java < 0 || jar < java) {
      throw new IOException(file + ": run: this starts no jar: " + run);
    }
    return List.copyOf(words.subList(java + 1, jar));
  }
}
