/**
 * The encoding of messages between gateways and of stored data: CBOR (RFC 8949), as maps with named
 * fields, so that a reader can skip fields that it does not know. Nesting depth and number of
 * values are limited when decoding, whatever a peer sends.
 */
package hazelspoke.agreement.wire;
