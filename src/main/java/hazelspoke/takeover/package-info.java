/**
 * Handover from one gateway process to its successor while both run: a file in a shared folder
 * names the newest process on an address. Uses no sockets and no clock.
 */
package hazelspoke.takeover;
