/**
 * How one process of a gateway gives way to the next while both run: who of them is the newest at
 * an address, told through a file in the folder that they share. No sockets and no clock.
 */
package hazelspoke.takeover;
