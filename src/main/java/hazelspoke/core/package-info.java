/**
 * The middle of a gateway, in no protocol's words: a request comes from a front, the decision
 * module says what to do with it, backs carry that out, and exactly one answer goes back.
 *
 * <h2>One thread</h2>
 *
 * Everything here runs on the one event loop of its gateway. Nothing is safe to call from another
 * thread, nothing blocks, and nothing keeps a static that changes.
 *
 * <h2>The life of a request</h2>
 *
 * <table>
 * <caption>Who may call what, and what follows</caption>
 * <tr><th>state</th><th>front may call</th><th>core may call</th><th>next</th></tr>
 * <tr><td>coming in</td><td>append to the body, {@link
 *     hazelspoke.core.ByteBudget.Share#add add} to its share; drop it and release the share</td>
 *     <td>nothing</td><td>in hand, or dropped</td></tr>
 * <tr><td>in hand: {@link hazelspoke.core.RequestHandler#onRequest onRequest} was called</td><td>{@link
 *     hazelspoke.core.RequestHandler#onClientDisconnected onClientGone}, once</td><td>{@link
 *     hazelspoke.core.Client#answer answer}, once, also before {@code onRequest} returns</td>
 *     <td>answered, or gone</td></tr>
 * <tr><td>answered</td><td>{@link hazelspoke.core.RequestHandler#onAnswerWritten onAnswerLeft}, once it is
 *     written or cannot be; {@code onClientGone} does nothing</td><td>nothing</td><td></td></tr>
 * <tr><td>gone</td><td>nothing</td><td>nothing</td><td></td></tr>
 * </table>
 *
 * A request may be handed over before it is whole, with a body whose {@link
 * hazelspoke.core.Body#remainder rest} is still to come. Its front says {@link
 * hazelspoke.core.RequestHandler#onRequestComplete onWhole} when all of it is there, and its time
 * runs from then; until then it may be answered (what still comes is then its front's to drop) or
 * its client may go.
 *
 * <p>An answer comes by the client's deadline and {@value
 * hazelspoke.core.Dispatcher#OVERDUE_GRACE_MS} ms at the latest, whatever the module or a back
 * does; a module that throws costs the request that it was told of, as failed, and no other.
 *
 * <h2>The life of a call</h2>
 *
 * {@link hazelspoke.core.HostTransport#start start} begins one attempt. It is told once how it
 * ended, by {@link hazelspoke.core.HostCall#onAnswer answered} or {@link
 * hazelspoke.core.HostCall#onEnd ended}, never before {@code start} has returned, and not at all
 * once its ticket was {@link hazelspoke.core.HostTransport.CallHandle#cancel given up}. {@link
 * hazelspoke.core.HostCall#request request} may be asked until the last byte was handed to the
 * socket, which is what {@link hazelspoke.core.HostTransport.CallHandle#isLastByteSent isSent}
 * says; from then on the request may run, and the core may have let go of it. A back must never say
 * of a call that it did not run ({@code CONNECT_FAILED}, {@code NOT_SENT}, {@code REJECTED}) unless
 * that is proven.
 *
 * <p>When its turn has come, after the sockets were read once more, a back asks a call whether it
 * {@link hazelspoke.core.HostCall#maySendFirstByte may begin}; otherwise it ends as not sent. Until
 * then, as {@link hazelspoke.core.HostTransport.CallHandle#isFirstByteSent isBegun} says, the core
 * cancels it when its client leaves or its host wants nothing new.
 *
 * <p>A call says {@link hazelspoke.core.HostCall#onSent sent} when its last byte was handed over. A
 * request whose rest has begun to go to one host can go to no other: a further attempt ends as not
 * sent. An answer with a rest has ended its call with its beginning; if the rest does not come, the
 * {@link hazelspoke.core.BodyStream} says so to whoever writes it on.
 *
 * <h2>Who owns what</h2>
 *
 * <ul>
 *   <li>The <b>request's body</b> is its front's until {@code onRequest}, and nobody's to change
 *       afterwards. Its <b>share</b> of the budget is released by the front before {@code
 *       onRequest}, by the core after it: when the request is answered or its client has gone.
 *   <li>The <b>answer's body</b> and share are the back's until {@code answered}, then the core's,
 *       and with {@code answer} the front's, who releases the share once the body is written or
 *       cannot be. An answer that comes too late for its client is released by the core.
 *   <li><b>Metadata</b> belongs to whoever makes it until it is handed on; then it does not change.
 *   <li>The <b>rest</b> of a body goes from its source to the one sink that attaches; whoever ends
 *       with it before it has ended {@link hazelspoke.core.BodyStream#abandon abandons} it.
 *   <li>No reference-counted buffer crosses these lines: bodies are copied out of read buffers.
 *   <li>Of a request that has ended only what an attempt still out needs is kept, until that ends
 *       too: its host, number and start, so that the module hears of it.
 * </ul>
 *
 * <h2>What stands between a front and the core</h2>
 *
 * A guard (limits, repeats, reasons) is an {@link hazelspoke.core.RequestHandler} before another.
 * It may answer a request itself, then with the share released and without passing it on; pass it
 * on with a {@link hazelspoke.core.Client} of its own that passes the answer back; and pass on
 * another exchange for the same request. It must give each client one answer, pass {@code
 * onClientGone} on for what it passed on, say of what it holds that it {@link
 * hazelspoke.core.RequestHandler#isOpen is open}, and hold nothing beyond the deadline. It must not
 * choose hosts, start attempts, or turn a failure into a refusal: a refusal promises that asking
 * again is harmless, which only the module knows.
 */
package hazelspoke.core;
