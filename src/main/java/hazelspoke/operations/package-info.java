/**
 * The management interface of a running gateway: HTTP listener, metrics, drain. It runs on its own
 * thread, as operators need a response most when the event loop is busy; the metrics are updated on
 * the event loop and read without waiting for it. No class of this package is loaded if no
 * management address is configured.
 */
package hazelspoke.operations;
