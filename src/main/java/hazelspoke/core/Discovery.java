package hazelspoke.core;

/** The source of the host list. */
public interface Discovery {
  /** Starts a watch on the host list, unless one is active, or stops it. */
  void watch(boolean on);

  /** Requests the complete list once. */
  void poll();
}
