/**
 * How members that do not vote have the record: voters push them each entry once it is agreed on
 * and applied. Both sides are pure; what they send may be lost, doubled, late or out of order.
 */
package hazelspoke.agreement.feed;
