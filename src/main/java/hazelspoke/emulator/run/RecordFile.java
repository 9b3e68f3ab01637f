package hazelspoke.emulator.run;

import hazelspoke.emulator.model.LinkName;
import hazelspoke.emulator.net.Links;
import hazelspoke.emulator.net.Ports;
import hazelspoke.emulator.script.Script;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Writes the operator's file of a gateway whose rehearsal uses a shared record. */
final class RecordFile {
  /** Name of the fleet. */
  static final String FLEET = "rehearsal";

  private RecordFile() {}

  static String write(
      int gateway, List<InetSocketAddress> addresses, Links links, Script script, Path folder) {
    String self = "g" + (gateway + 1);
    String voters =
        IntStream.rangeClosed(1, script.fleet().voters())
            .mapToObj(i -> "\"g" + i + "\"")
            .collect(Collectors.joining(", "));
    StringBuilder members = new StringBuilder();
    for (int i = 0; i < addresses.size(); i++) {
      String name = "g" + (i + 1);
      InetSocketAddress at =
          i == gateway ? addresses.get(i) : links.link(new LinkName(self, name)).address();
      members.append(name).append(" = \"").append(Ports.text(at)).append("\"\n");
    }
    // A cut relay refuses connections, unlike a cut network: a refusal proves nothing here.
    return """
        [fleet]
        name = "%s"
        self = "%s"
        voters = [%s]
        data = "%s"
        term_s = 3
        refusal = "ignored"
        [fleet.members]
        %s"""
        .formatted(FLEET, self, voters, folder.resolve(self + "-data").toAbsolutePath(), members);
  }
}
