/**
 * Faults drawn from a seed for a script that has none or too few, and, once a play has broken a
 * rule, the few of them that are needed for that. Decisions only: no I/O, no clock, no chance but
 * the seed's.
 */
package hazelspoke.emulator.torment;
