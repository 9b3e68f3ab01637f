package hazelspoke.core;

import ternscale.api.Settings.Effect;

/**
 * What a client asks for, in no protocol's words.
 *
 * @param txn the client's id of it; no other open request may bear it
 * @param requestClass its class, as a place in the settings
 * @param effect what a second run of it would do
 * @param tenant the organisation, as a place in the settings, or the place after the last
 * @param remainingMs how long its client waits, from when it lay ready to be read
 * @param costHintMs the work it is thought to be, in milliseconds on a standard core; 0 is unknown
 * @param entity what it is about, or null
 * @param resent whether its client says that it asked before
 * @param target what of its host's it is for: the path and query of HTTP
 * @param metadata what goes on with it
 * @param body its bytes; its front appends to them until it hands the request over, nobody later
 */
public record Request(
    String txn,
    int requestClass,
    Effect effect,
    int tenant,
    double remainingMs,
    double costHintMs,
    String entity,
    boolean resent,
    String target,
    Metadata metadata,
    Body body) {}
