package hazelspoke.emulator.run;

import hazelspoke.emulator.judge.EventLog;
import hazelspoke.emulator.judge.EventLog.Attempt;
import hazelspoke.emulator.judge.EventLog.AttemptEnd;
import hazelspoke.emulator.model.ServerSpec;
import hazelspoke.emulator.net.EmulatorLoop;
import hazelspoke.emulator.net.Ports;
import hazelspoke.emulator.net.StockHost;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stock servers in processes of their own, so that a script's crash and freeze can be held against
 * SIGKILL and SIGSTOP. What they see comes back as lines; both sides read one monotonic clock.
 */
public final class ApartHosts {
  private final List<String> command;
  private final Path folder;
  private final long seed;

  /**
   * @param command what starts the command line of this program
   * @param folder where a copy of the script lies, as {@code script.toml}
   */
  public ApartHosts(List<String> command, Path folder, long seed) {
    this.command = List.copyOf(command);
    this.folder = folder;
    this.seed = seed;
  }

  StockHost host(EmulatorLoop stage, ServerSpec spec, InetSocketAddress address, EventLog ledger) {
    return new Apart(stage, spec, address, ledger);
  }

  private final class Apart implements StockHost {
    private final EmulatorLoop stage;
    private final ServerSpec spec;
    private final InetSocketAddress address;
    private final EventLog ledger;
    private final Map<String, Attempt> open = new HashMap<>();
    private OsProcess handle;
    private int starts;

    Apart(EmulatorLoop stage, ServerSpec spec, InetSocketAddress address, EventLog ledger) {
      this.stage = stage;
      this.spec = spec;
      this.address = address;
      this.ledger = ledger;
    }

    @Override
    public String name() {
      return spec.name();
    }

    @Override
    public InetSocketAddress address() {
      return address;
    }

    @Override
    public ServerSpec spec() {
      return spec;
    }

    @Override
    public void start(boolean cold) {
      List<String> line = new ArrayList<>(command);
      line.addAll(
          List.of(
              "stock-server",
              folder.resolve("script.toml").toString(),
              "--seed",
              Long.toString(seed),
              "--name",
              spec.name(),
              "--listen",
              Ports.text(address),
              "--zero",
              Long.toString(stage.originNanos())));
      if (cold) {
        line.add("--cold");
      }
      try {
        Process process =
            new ProcessBuilder(line)
                .redirectError(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(spec.name() + ".log").toFile()))
                .start();
        handle = new OsProcess(process);
        int start = ++starts;
        Thread reader = new Thread(() -> read(process, start), spec.name());
        reader.setDaemon(true);
        reader.start();
      } catch (IOException e) {
        stage.fail(spec.name() + " cannot be started", e);
      }
    }

    private void read(Process process, int start) {
      try (BufferedReader in =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
        String line;
        while ((line = in.readLine()) != null) {
          String[] words = line.split(" ");
          stage.loop().execute(() -> take(words, start));
        }
      } catch (IOException e) {
        // It has been killed.
      }
    }

    /** {@code received ID TXN AT EARLIEST} or {@code ended ID HOW AT}. */
    private void take(String[] words, int start) {
      String id = start + " " + words[1];
      if (words[0].equals("received")) {
        open.put(
            id,
            ledger.received(
                words[2],
                spec.name(),
                spec.group(),
                Double.parseDouble(words[3]),
                Double.parseDouble(words[4])));
      } else {
        Attempt attempt = open.remove(id);
        if (attempt != null) {
          attempt.end(AttemptEnd.valueOf(words[2]), Double.parseDouble(words[3]));
        }
      }
    }

    @Override
    public void crash() {
      if (handle != null) {
        handle.signal(GatewayHandle.Signal.KILL);
        handle = null;
        open.values().forEach(a -> a.end(AttemptEnd.RESET, stage.now()));
        open.clear();
      }
    }

    @Override
    public void freeze() {
      if (handle != null) {
        handle.signal(GatewayHandle.Signal.STOP);
      }
    }

    @Override
    public void thaw() {
      if (handle != null) {
        handle.signal(GatewayHandle.Signal.CONT);
      }
    }

    @Override
    public boolean isUp() {
      return handle != null && handle.isAlive();
    }

    @Override
    public boolean hasFailedFromOverload() {
      return false;
    }

    @Override
    public int heldRequests() {
      return -1;
    }
  }
}
