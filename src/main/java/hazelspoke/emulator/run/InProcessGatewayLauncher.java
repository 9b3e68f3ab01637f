package hazelspoke.emulator.run;

import hazelspoke.node.Gateway;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;

/** Runs gateways in this process, each on its own event loop. */
public final class InProcessGatewayLauncher implements GatewayLauncher {
  @Override
  public GatewayHandle launch(String name, Map<String, String> environment, Path log)
      throws IOException {
    PrintStream output = new PrintStream(log.toFile());
    try {
      return new InProcessGateway(Gateway.open(environment, output), environment, output);
    } catch (IllegalStateException e) {
      output.close();
      throw new IOException(name + " cannot start: " + e.getMessage(), e);
    }
  }

  private static final class InProcessGateway implements GatewayHandle {
    private final Gateway gateway;
    private final Map<String, String> environment;
    private final PrintStream output;
    private volatile boolean alive = true;
    private Thread stopper;

    InProcessGateway(Gateway gateway, Map<String, String> environment, PrintStream output) {
      this.gateway = gateway;
      this.environment = environment;
      this.output = output;
    }

    @Override
    public synchronized void signal(Signal signal) {
      switch (signal) {
        case HUP -> gateway.reload(environment);
        case TERM -> stopWith(gateway::drain);
        case KILL -> stopWith(gateway::stop);
        default ->
            throw new UnsupportedOperationException("a gateway in this process cannot be stopped");
      }
    }

    private void stopWith(Runnable action) {
      if (stopper == null) {
        stopper =
            new Thread(
                () -> {
                  action.run();
                  alive = false;
                },
                "leave");
        stopper.setDaemon(true);
        stopper.start();
      }
    }

    @Override
    public boolean isAlive() {
      return alive;
    }

    @Override
    public long pid() {
      return -1;
    }

    @Override
    public void close() {
      signal(Signal.KILL);
      try {
        stopper.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      output.close();
    }
  }
}
