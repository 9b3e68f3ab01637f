/**
 * The replicated state machine of the fleet. It applies the committed entries in order and reaches
 * the same state at every gateway. It uses no I/O, no clock and no source of randomness: whatever
 * depends on time is decided by a leader and arrives as an entry.
 */
package hazelspoke.agreement.record;
