package hazelspoke.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.LongPredicate;

/**
 * A file with the id of the process that began last to serve at an address. Each process overwrites
 * it when it begins to serve, so that an older process can tell at its shutdown whether a successor
 * serves on.
 *
 * <p>The file is replaced atomically and never read half written. Its content may be outdated: a
 * process that has ended does not count, but an id that the system has reused for another process
 * is mistaken for a successor; the shutdown then does not wait for new connections.
 */
public final class ServingPidFile {
  private final Path file;
  private final long self;
  private final LongPredicate isAlive;

  /**
   * Creates the view of one of the processes that share {@code folder} and serve at {@code
   * address}.
   *
   * @param self the id of this process
   * @param isAlive returns whether a process with the given id is running
   */
  public ServingPidFile(Path folder, String address, long self, LongPredicate isAlive) {
    file = SharedFolder.file(folder, address, "serving");
    this.self = self;
    this.isAlive = isAlive;
  }

  /** Creates the view of the running process. */
  public static ServingPidFile ofThisProcess(Path folder, String address) {
    return new ServingPidFile(
        folder,
        address,
        ProcessHandle.current().pid(),
        pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false));
  }

  /**
   * Records that this process has begun to serve.
   *
   * @throws IOException if the file cannot be written; the previous process then shuts down as if
   *     it had no successor
   */
  public void claim() throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + "." + self);
    Files.writeString(temporary, Long.toString(self));
    Files.move(
        temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns whether another process serves already; called before {@link #claim}. */
  public boolean hasPredecessor() {
    return isNewestAnotherProcess();
  }

  /** Returns whether another, running process has begun to serve after this one. */
  public boolean hasSuccessor() {
    return isNewestAnotherProcess();
  }

  private boolean isNewestAnotherProcess() {
    try {
      long newest = Long.parseLong(Files.readString(file).trim());
      return newest != self && isAlive.test(newest);
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }
}
