/**
 * Replication of the record to members without a vote: voters send them each entry once it is
 * committed and applied. Neither side does I/O; packets may be lost, duplicated, delayed or
 * reordered.
 */
package hazelspoke.agreement.feed;
