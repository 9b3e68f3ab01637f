/**
 * Measures how resource usage grows with the fleet, as linear fits over several sizes. Voters run
 * in processes of their own and write to disk; all other members are real members over real
 * connections without a gateway, many on one event loop.
 */
package hazelspoke.bench.scale;
