/**
 * The protocol-independent core of a gateway: a front end hands over a request, the balancer
 * decides what to do with it, a back end carries that out, and exactly one answer is returned.
 *
 * <h2>Threading</h2>
 *
 * All classes of this package are confined to the one event loop of their gateway. None is
 * thread-safe, none blocks, and there is no mutable static state.
 *
 * <h2>Life cycle of a request</h2>
 *
 * <table>
 * <caption>Allowed calls and transitions by state</caption>
 * <tr><th>state</th><th>front end may call</th><th>core may call</th><th>next</th></tr>
 * <tr><td>being received</td><td>append to the body, {@link
 *     hazelspoke.core.ByteBudget.Share#add add} to its share; drop it and release the share</td>
 *     <td>nothing</td><td>open, or dropped</td></tr>
 * <tr><td>open: {@link hazelspoke.core.RequestHandler#onRequest onRequest} was called</td><td>{@link
 *     hazelspoke.core.RequestHandler#onClientDisconnected onClientDisconnected}, once</td><td>{@link
 *     hazelspoke.core.Client#answer answer}, once, also before {@code onRequest} returns</td>
 *     <td>answered, or disconnected</td></tr>
 * <tr><td>answered</td><td>{@link hazelspoke.core.RequestHandler#onAnswerWritten onAnswerWritten},
 *     once the answer is written or cannot be; {@code onClientDisconnected} does nothing</td>
 *     <td>nothing</td><td></td></tr>
 * <tr><td>disconnected</td><td>nothing</td><td>nothing</td><td></td></tr>
 * </table>
 *
 * A request may be handed over before it is complete, with a body whose {@link
 * hazelspoke.core.Body#remainder remainder} is still being received. Its front end calls {@link
 * hazelspoke.core.RequestHandler#onRequestComplete onRequestComplete} when all of it was received,
 * and its deadline counts from then. Until then it may be answered, and the front end discards the
 * bytes that still arrive, or its client may disconnect.
 *
 * <p>An answer is given at the latest {@value hazelspoke.core.Dispatcher#OVERDUE_GRACE_MS} ms after
 * the client's deadline, whatever the balancer or a back end does. A balancer that throws fails the
 * request of the event concerned, and no other.
 *
 * <h2>Life cycle of a call</h2>
 *
 * {@link hazelspoke.core.HostTransport#start start} begins one attempt. Its end is reported once,
 * by {@link hazelspoke.core.HostCall#onAnswer onAnswer} or {@link hazelspoke.core.HostCall#onEnd
 * onEnd}, never before {@code start} has returned, and not at all after its handle was {@link
 * hazelspoke.core.HostTransport.CallHandle#cancel cancelled}. {@link
 * hazelspoke.core.HostCall#request request} is available until the last byte was handed to the
 * socket, as reported by {@link hazelspoke.core.HostTransport.CallHandle#isLastByteSent
 * isLastByteSent}; from then on the host may execute the request, and the core may have released
 * it. A back end must not report that a call was not executed ({@code CONNECT_FAILED}, {@code
 * NOT_SENT}, {@code REJECTED}) unless that is proven.
 *
 * <p>Immediately before a back end writes a call, and after it has polled the sockets again, it
 * asks whether the call {@link hazelspoke.core.HostCall#maySendFirstByte may send its first byte};
 * otherwise the call ends as not sent. Until the first byte is sent, as reported by {@link
 * hazelspoke.core.HostTransport.CallHandle#isFirstByteSent isFirstByteSent}, the core cancels the
 * call when its client disconnects or its host accepts no new calls.
 *
 * <p>A back end calls {@link hazelspoke.core.HostCall#onSent onSent} when the last byte was handed
 * to the socket. A request whose remainder has been attached to one host cannot be sent to another:
 * a further attempt ends as not sent. A response with a remainder ends its call as soon as its
 * beginning was received; if the remainder does not arrive, the {@link hazelspoke.core.BodyStream}
 * notifies its sink.
 *
 * <h2>Ownership</h2>
 *
 * <ul>
 *   <li>The <b>request's body</b> belongs to its front end until {@code onRequest}, and must not
 *       change afterwards. Its <b>share</b> of the budget is released by the front end before
 *       {@code onRequest}, and by the core after it, when the request is answered or its client has
 *       disconnected.
 *   <li>The <b>response's body</b> and share belong to the back end until {@code onAnswer}, then to
 *       the core, and with {@code answer} to the front end, which releases the share once the body
 *       is written or cannot be. The core releases a response that arrives after its request has
 *       ended.
 *   <li><b>Metadata</b> belongs to its creator until it is handed on, and does not change
 *       afterwards.
 *   <li>The <b>remainder</b> of a body passes from its source to the one sink that attaches;
 *       whoever stops using it before its end {@link hazelspoke.core.BodyStream#abandon abandons}
 *       it.
 *   <li>No reference-counted buffer is passed between these components: bodies are copied out of
 *       read buffers.
 *   <li>Of a request that has ended only what an attempt in flight needs is kept until that attempt
 *       ends: its host, index and start time, so that its outcome can be reported to the balancer.
 * </ul>
 *
 * <h2>Filters between a front end and the core</h2>
 *
 * A filter (for limits, duplicates or reasons) is a {@link hazelspoke.core.RequestHandler} in front
 * of another. It may answer a request itself, in which case it releases the share and does not
 * forward the request; forward it with a {@link hazelspoke.core.Client} of its own that forwards
 * the answer; and forward another exchange for the same request. It must give each client one
 * answer, forward {@code onClientDisconnected} for the requests that it has forwarded, claim the
 * ids of requests that it holds with {@link hazelspoke.core.RequestHandler#claimId}, and hold none
 * beyond its deadline. It must not choose hosts, start attempts, or turn a failure into a refusal:
 * a refusal promises that a retry is harmless, which only the balancer knows.
 */
package hazelspoke.core;
