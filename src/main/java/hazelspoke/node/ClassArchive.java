package hazelspoke.node;

import hazelspoke.core.Clock;
import hazelspoke.core.Log;
import hazelspoke.net.Transport;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Training run for the JVM's class archive (AppCDS), done at build time. Without the archive,
 * loading classes on half a core takes the first second of traffic. One gateway serves as the host
 * of another, and this process is the client, all on loopback. The responses are rejections, which
 * does not matter for class loading.
 */
public final class ClassArchive {
  private static final int REQUESTS = 5;

  private static final String CONFIG =
      """
      {"name":"archive","listen":"127.0.0.1:0","management":"127.0.0.1:0",
       "discovery":"127.0.0.1:1","seed":"1",
       "known":{"index":1,"snapshot":true,"endpoints":[{"name":"self","address":"127.0.0.1:%d",
        "zone":"a","type":"k","group":0,"status":"Ready","weight":1.0,"since_ms":0}]},
       "settings":{"areas":["a"],"kinds":["k"],"discovery":"on_request","quantum":1,
        "extra":{"warm_keys":true},
        "grades":[{"name":"c","effect":"by_key","group":"zone","aim":500,"hard_limit":500,
         "window":500}],
        "limits":{"send_cap":3,"cancelling":true,"connect_timeout":250,"conn_idle":5000},
        "rules":{"cold_from":0.5,"cold":100,"fall_multiple":3,"fall":3000,"must_ask_in":500}}}
      """;

  private static final String REQUEST =
      """
      POST /c HTTP/1.1\r
      Host: self\r
      X-Lane: c\r
      X-Txn: t%d\r
      X-Entity: e\r
      X-Remaining: 0.5\r
      X-Estimate: 1000\r
      Idempotency-Key: k%d\r
      Content-Length: 3\r
      \r
      abc""";

  private ClassArchive() {}

  /** Performs the training run; returns the exit status, 1 if the run failed. */
  public static int run(PrintStream err) {
    try {
      Path configFile = Files.createTempFile("archive", ".json");
      try {
        Gateway hostGateway = start(configFile, 1, err);
        InetSocketAddress host = (InetSocketAddress) hostGateway.start();
        Gateway gateway = start(configFile, host.getPort(), err);
        InetSocketAddress managementAddress = gateway.openManagement();
        sendRequests((InetSocketAddress) gateway.start());
        sendAndAwaitResponse(managementAddress, "GET /_ready HTTP/1.1\r\n\r\n");
        sendAndAwaitResponse(managementAddress, "GET /_vars HTTP/1.1\r\n\r\n");
        gateway.drain();
        hostGateway.drain();
        warmUp(configFile, err);
      } finally {
        Files.delete(configFile);
      }
      return 0;
    } catch (IOException | ConfigException | IllegalStateException e) {
      err.println("hazelspoke: the run for the archive failed: " + e.getMessage());
      return 1;
    }
  }

  private static void warmUp(Path configFile, PrintStream err) throws ConfigException {
    Map<String, String> environment = Map.of("NODE_CONFIG", configFile.toString());
    new WarmUp(GatewayConfig.read(environment), environment)
        .run(new Log(err, new Clock()), WarmUp.MAX_MS);
  }

  private static Gateway start(Path configFile, int hostPort, PrintStream err)
      throws IOException, ConfigException {
    Files.writeString(configFile, CONFIG.formatted(hostPort));
    return new Gateway(
        GatewayConfig.read(Map.of("NODE_CONFIG", configFile.toString())), err, Transport.TCP);
  }

  private static void sendRequests(InetSocketAddress gateway) throws IOException {
    for (int i = 0; i < REQUESTS; i++) {
      sendAndAwaitResponse(gateway, REQUEST.formatted(i, i));
    }
  }

  private static void sendAndAwaitResponse(InetSocketAddress address, String request)
      throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(request.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      socket.getInputStream().read();
    }
  }
}
