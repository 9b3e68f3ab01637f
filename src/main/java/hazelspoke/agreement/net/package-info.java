/**
 * Runs a member: its event loop, the connections to the other members, the lock of the data
 * directory, and the interface for operators. Threads that serve requests never block on it.
 *
 * <p>The network between members is trusted: peers are checked only by the names of the fleet and
 * the member, which protects against mistakes and not against attackers.
 */
package hazelspoke.agreement.net;
