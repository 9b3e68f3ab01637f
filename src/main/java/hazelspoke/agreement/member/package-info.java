/**
 * Membership in a fleet: bootstrapping the record, joining it, renewing the session's lease, calls
 * to the leader, and the leader's expiry of leases. The code is deterministic: clock, scheduling,
 * network, disk and randomness are passed in, so it runs unchanged in production and in a
 * simulator.
 */
package hazelspoke.agreement.member;
