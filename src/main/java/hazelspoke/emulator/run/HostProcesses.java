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
 * Runs stock servers in processes of their own, so that a script's crash and freeze can be compared
 * with SIGKILL and SIGSTOP. They report events as lines; both sides read the same monotonic clock.
 */
public final class HostProcesses {
  private final List<String> command;
  private final Path folder;
  private final long seed;

  /**
   * @param command prefix that runs this program's command line
   * @param folder holds a copy of the script, named {@code script.toml}
   */
  public HostProcesses(List<String> command, Path folder, long seed) {
    this.command = List.copyOf(command);
    this.folder = folder;
    this.seed = seed;
  }

  StockHost host(
      EmulatorLoop emulatorLoop, ServerSpec spec, InetSocketAddress address, EventLog eventLog) {
    return new HostProcess(emulatorLoop, spec, address, eventLog);
  }

  private final class HostProcess implements StockHost {
    private final EmulatorLoop emulatorLoop;
    private final ServerSpec spec;
    private final InetSocketAddress address;
    private final EventLog eventLog;
    private final Map<String, Attempt> openAttempts = new HashMap<>();
    private OsProcess osProcess;
    private int starts;

    HostProcess(
        EmulatorLoop emulatorLoop, ServerSpec spec, InetSocketAddress address, EventLog eventLog) {
      this.emulatorLoop = emulatorLoop;
      this.spec = spec;
      this.address = address;
      this.eventLog = eventLog;
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
      List<String> arguments = new ArrayList<>(command);
      arguments.addAll(
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
              Long.toString(emulatorLoop.originNanos())));
      if (cold) {
        arguments.add("--cold");
      }
      try {
        Process process =
            new ProcessBuilder(arguments)
                .redirectError(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(spec.name() + ".log").toFile()))
                .start();
        osProcess = new OsProcess(process);
        int start = ++starts;
        Thread reader = new Thread(() -> read(process, start), spec.name());
        reader.setDaemon(true);
        reader.start();
      } catch (IOException e) {
        emulatorLoop.fail(spec.name() + " cannot be started", e);
      }
    }

    private void read(Process process, int start) {
      try (BufferedReader in =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
        String line;
        while ((line = in.readLine()) != null) {
          String[] words = line.split(" ");
          emulatorLoop.loop().execute(() -> handleEvent(words, start));
        }
      } catch (IOException e) {
        // The process was killed.
      }
    }

    /** Handles {@code received ID TXN AT EARLIEST} or {@code ended ID HOW AT}. */
    private void handleEvent(String[] words, int start) {
      String id = start + " " + words[1];
      if (words[0].equals("received")) {
        openAttempts.put(
            id,
            eventLog.received(
                words[2],
                spec.name(),
                spec.group(),
                Double.parseDouble(words[3]),
                Double.parseDouble(words[4])));
      } else {
        Attempt attempt = openAttempts.remove(id);
        if (attempt != null) {
          attempt.end(AttemptEnd.valueOf(words[2]), Double.parseDouble(words[3]));
        }
      }
    }

    @Override
    public void crash() {
      if (osProcess != null) {
        osProcess.signal(GatewayHandle.Signal.KILL);
        osProcess = null;
        openAttempts.values().forEach(a -> a.end(AttemptEnd.RESET, emulatorLoop.now()));
        openAttempts.clear();
      }
    }

    @Override
    public void freeze() {
      if (osProcess != null) {
        osProcess.signal(GatewayHandle.Signal.STOP);
      }
    }

    @Override
    public void thaw() {
      if (osProcess != null) {
        osProcess.signal(GatewayHandle.Signal.CONT);
      }
    }

    @Override
    public boolean isUp() {
      return osProcess != null && osProcess.isAlive();
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
