/**
 * Handover from one gateway process to its successor while both run: in a shared folder, one file
 * names the newest process on an address, and another is memory that all of them share. Uses no
 * sockets and no clock.
 */
package hazelspoke.takeover;
