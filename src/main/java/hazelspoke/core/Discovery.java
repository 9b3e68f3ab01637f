package hazelspoke.core;

/** Who tells which hosts there are. */
public interface Discovery {
  /** Begins to watch the list, unless that is being done already, or ends it. */
  void watch(boolean on);

  /** Asks once for the whole list. */
  void poll();
}
