package hazelspoke.knownred;

import java.util.List;
import org.junit.platform.engine.FilterResult;
import org.junit.platform.engine.TestDescriptor;
import org.junit.platform.engine.support.descriptor.MethodSource;
import org.junit.platform.launcher.PostDiscoveryFilter;

/**
 * Keeps the tests of KNOWN-RED.txt out of a run, or, where the system property {@code known.red} is
 * {@code only}, all others. Registered with the launcher as a service.
 */
public final class KnownRedFilter implements PostDiscoveryFilter {
  private static final String MODE = "known.red";
  private static final String ONLY = "only";

  private final boolean only = ONLY.equals(System.getProperty(MODE));
  private final List<KnownRed.Entry> entries = KnownRed.entries();

  @Override
  public FilterResult apply(TestDescriptor test) {
    if (!(test.getSource().orElse(null) instanceof MethodSource method)) {
      // A container goes by itself once nothing is left in it.
      return FilterResult.includedIf(test.isContainer() || !only);
    }
    boolean listed =
        entries.stream()
            .anyMatch(entry -> entry.names(method.getClassName(), method.getMethodName()));
    return FilterResult.includedIf(listed == only);
  }
}
