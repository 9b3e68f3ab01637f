/**
 * The consensus engine of one voter: MicroRaft on top of the store of {@link
 * hazelspoke.agreement.store}, with clock, transport and random numbers injected. Single-threaded
 * and non-blocking, apart from writes to the disk.
 */
package hazelspoke.agreement.engine;
