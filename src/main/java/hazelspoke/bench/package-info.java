/**
 * What a gateway costs, held against a control in the same run: {@code bin/pumicetray bench}.
 *
 * <p>The gateway runs as a process of its own with the flags that the deployment's file gives it;
 * beside it runs a relay that only passes bytes on. The same clients and the same hosts, in this
 * process, load them in turn. Nothing here is on the way of {@code serve}.
 */
package hazelspoke.bench;
