/**
 * What operators see and do while a gateway serves: a listener of their own, the figures, the
 * drain. It has a thread of its own, as an operator needs an answer most when the loop is busy;
 * what it tells is counted on the loop and read without waiting for it. Nothing here is loaded
 * where no address for operators is set.
 */
package hazelspoke.operations;
