/**
 * Measures the cost of a gateway against a control in the same run: {@code bin/pumicetray bench}.
 *
 * <p>The gateway runs in a process of its own with the JVM flags of the deployment file; a relay
 * that only forwards bytes runs beside it. The same clients and hosts, in this process, load both
 * in alternation. {@code serve} uses nothing of this package.
 */
package hazelspoke.bench;
