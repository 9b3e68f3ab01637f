package hazelspoke.agreement.store;

import java.io.IOException;
import java.util.Set;

/** A directory of files. Each method says what is durable, that is, survives a power failure. */
public interface Disk {
  /** The names of the files in the directory. */
  Set<String> list() throws IOException;

  /** Reads a complete file. */
  byte[] read(String name) throws IOException;

  /**
   * Creates a new, empty file for appending. The file is durable only after {@link #syncDirectory}.
   *
   * @throws java.nio.file.FileAlreadyExistsException if a file of this name exists
   */
  Output create(String name) throws IOException;

  /**
   * Renames a file and replaces any file that has the new name; durable only after {@link
   * #syncDirectory}.
   */
  void rename(String from, String to) throws IOException;

  /** Deletes a file; it may reappear after a power failure until {@link #syncDirectory}. */
  void delete(String name) throws IOException;

  /** Returns once all creations, renames and deletions of files are durable. */
  void syncDirectory() throws IOException;

  /** A file that is being written. */
  interface Output extends AutoCloseable {
    /** Appends bytes; a power failure may lose some or all of them until {@link #sync}. */
    void write(byte[] bytes) throws IOException;

    /** Returns once all bytes written so far are durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
