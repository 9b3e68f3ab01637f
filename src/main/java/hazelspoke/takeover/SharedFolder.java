package hazelspoke.takeover;

import java.nio.file.Path;

/** Names the files in the folder that the processes at an address share. */
final class SharedFolder {
  private SharedFolder() {}

  /** Returns the file of an address with this content. */
  static Path file(Path folder, String address, String content) {
    return folder.resolve("pumicetray-" + address.replaceAll("[^A-Za-z0-9.]", "_") + "." + content);
  }
}
