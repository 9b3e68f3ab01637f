/**
 * Generates faults from a seed for a script and, after a run has violated a rule, reduces them to
 * the ones needed to reproduce it. Pure logic: no I/O, no clock, no randomness except from the
 * seed.
 */
package hazelspoke.emulator.torment;
