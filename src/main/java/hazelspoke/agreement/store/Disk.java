package hazelspoke.agreement.store;

import java.io.IOException;
import java.util.Set;

/** One folder of files, with what a power failure leaves of them said for each call. */
public interface Disk {
  /** The names of the files there. */
  Set<String> list() throws IOException;

  /** All bytes of a file. */
  byte[] read(String name) throws IOException;

  /**
   * Makes a new, empty file to be appended to. It outlasts a power failure only after {@link
   * #syncDirectory}.
   *
   * @throws java.nio.file.FileAlreadyExistsException if there is one of this name
   */
  Output create(String name) throws IOException;

  /** Gives a file another name, in place of one that has it; as lasting as a new file. */
  void rename(String from, String to) throws IOException;

  /** Takes a file away; it may be back after a power failure until the folder is synced. */
  void delete(String name) throws IOException;

  /** Returns once all names made, changed and taken away will outlast a power failure. */
  void syncDirectory() throws IOException;

  /** A file that is written. */
  interface Output extends AutoCloseable {
    /** Appends bytes, which may be lost, in part or whole, until {@link #sync}. */
    void write(byte[] bytes) throws IOException;

    /** Returns once all that was written will outlast a power failure. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
