package hazelspoke.knownred;

import java.util.List;
import org.junit.platform.engine.FilterResult;
import org.junit.platform.engine.TestDescriptor;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.PostDiscoveryFilter;

/**
 * Excludes the tests of KNOWN-RED.txt from a run, or all others if the system property {@code
 * known.red} is {@code only}. Registered with the launcher as a service.
 */
public final class KnownRedFilter implements PostDiscoveryFilter {
  private static final String MODE = "known.red";
  private static final String ONLY = "only";

  private final boolean runsOnlyListed = ONLY.equals(System.getProperty(MODE));
  private final List<KnownRed.Entry> entries = KnownRed.entries();

  @Override
  public FilterResult apply(TestDescriptor test) {
    if (!(test.getSource().orElse(null) instanceof MethodSource method)) {
      // The launcher removes containers that have become empty.
      return FilterResult.includedIf(test.isContainer() || !runsOnlyListed);
    }
    boolean listed =
        entries.stream()
            .anyMatch(entry -> entry.names(method.getClassName(), method.getMethodName()));
    return FilterResult.includedIf(listed == runsOnlyListed);
  }
}
