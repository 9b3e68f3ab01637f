package hazelspoke.emulator.run;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A child process that receives signals by its process id. */
final class OsProcess implements GatewayHandle {
  private static final long EXIT_TIMEOUT_S = 10;

  private final Process process;

  /** Kills the process if the emulator is interrupted. */
  private final Thread shutdownHook;

  OsProcess(Process process) {
    this.process = process;
    shutdownHook = new Thread(process::destroyForcibly, "end " + process.pid());
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  @Override
  public void signal(Signal signal) {
    if (!process.isAlive()) {
      return;
    }
    switch (signal) {
      case TERM -> process.destroy();
      case KILL -> process.destroyForcibly();
      default -> {
        // Java itself sends only the two signals above.
        run("kill", "-" + signal, Long.toString(process.pid()));
      }
    }
  }

  /** Uses the limit on the file size: writes beyond it fail with an error. */
  @Override
  public void diskFull(boolean full) {
    if (process.isAlive()) {
      String bytes = full ? "1" : "unlimited";
      run("prlimit", "--pid", Long.toString(process.pid()), "--fsize=" + bytes + ":");
    }
  }

  private static void run(String... command) {
    try {
      new ProcessBuilder(command).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("cannot run " + String.join(" ", command), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public long pid() {
    return process.pid();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      // The JVM is shutting down, and the hook kills the process.
    }
    try {
      process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
