package hazelspoke.node;

import hazelspoke.core.HostList;
import java.util.Optional;

/**
 * Decides when a starting process begins to use hosts, and with which list. The configured list may
 * be outdated, and what an agent has counts as known from the start of the process. So a complete
 * line of the agent comes first, and the configured list is used only if none arrives in time.
 */
final class InitialHostList {
  /** How often the timeout is extended while a line of the agent is arriving. */
  private static final int MAX_EXTENSIONS = 2;

  private HostList.Update configured;
  private boolean isInUse;
  private boolean hasNewPart;
  private int extensions;

  InitialHostList(HostList.Update configured) {
    this.configured = configured;
  }

  /**
   * Returns what an update means to the list in use. Empty if nothing may be used yet, as only a
   * part of the first line has arrived.
   */
  Optional<HostList.Update> onUpdate(HostList.Update update) {
    if (isInUse) {
      return Optional.of(update);
    }
    boolean isPart = update.version() < 0;
    HostList.Update changed = configured.changedBy(update);
    if (isPart) {
      hasNewPart = true;
      configured = new HostList.Update(true, configured.version(), changed.hosts());
      return Optional.empty();
    }
    isInUse = true;
    return Optional.of(changed);
  }

  /** Whether to wait once more at the timeout, as a part has arrived since the last one. */
  boolean extendTimeout() {
    boolean isExtended = !isInUse && hasNewPart && extensions < MAX_EXTENSIONS;
    if (isExtended) {
      extensions++;
      hasNewPart = false;
    }
    return isExtended;
  }

  /** Returns the configured list, with the parts received, unless a list is in use already. */
  Optional<HostList.Update> useConfigured() {
    if (isInUse) {
      return Optional.empty();
    }
    isInUse = true;
    return Optional.of(configured);
  }
}
