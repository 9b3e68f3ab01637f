/** Reads and validates the operator's file and reports all errors with their positions. */
package hazelspoke.config;
