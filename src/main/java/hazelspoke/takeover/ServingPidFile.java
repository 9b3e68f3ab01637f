package hazelspoke.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.LongPredicate;

/**
 * The line of processes that serve at one address: whoever begins to serve writes its process id
 * into a file there, over that of the one before it. So the older one learns, when it is told to
 * leave, whether somebody serves on.
 *
 * <p>The file is replaced in one move and never read half written. What stands in it may be as old
 * as the folder: a process that is no more does not count, and an id that the system has given to
 * another process since would be taken for a successor; then new connections are not waited for at
 * a leave, as if one were there.
 */
public final class ServingPidFile {
  private final Path file;
  private final long self;
  private final LongPredicate isAlive;

  /**
   * One of the processes that share {@code folder} and serve at {@code address}.
   *
   * @param self its process id
   * @param isAlive whether a process with this id runs
   */
  public ServingPidFile(Path folder, String address, long self, LongPredicate isAlive) {
    file = folder.resolve("pumicetray-" + address.replaceAll("[^A-Za-z0-9.]", "_") + ".serving");
    this.self = self;
    this.isAlive = isAlive;
  }

  /** The running process, as above. */
  public static ServingPidFile ofThisProcess(Path folder, String address) {
    return new ServingPidFile(
        folder,
        address,
        ProcessHandle.current().pid(),
        pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false));
  }

  /**
   * Notes that this process serves from now on.
   *
   * @throws IOException if it cannot be written; then the one before leaves as if it were the last
   */
  public void claim() throws IOException {
    Path own = file.resolveSibling(file.getFileName() + "." + self);
    Files.writeString(own, Long.toString(self));
    Files.move(own, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Whether another process serves already, asked before this one does. */
  public boolean hasPredecessor() {
    return isNewestAnother();
  }

  /** Whether another process has begun to serve since this one did, and runs. */
  public boolean hasSuccessor() {
    return isNewestAnother();
  }

  private boolean isNewestAnother() {
    try {
      long newest = Long.parseLong(Files.readString(file).trim());
      return newest != self && isAlive.test(newest);
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }
}
