/**
 * The calls of clients and their attempts at upstreams. {@link gorsestack.proxy.CallDispatcher} connects sockets, discovery and operators
 * with the balancing policy of {@code gorsestack.decision}, which makes every decision; the other classes each hold one part of the state.
 * All state is owned by the event loop's thread ({@link gorsestack.proxy.EventLoopThread}); the sockets' thread reads only the state in
 * {@code SendGate}.
 *
 * <p>Comments refer to three rules by number. Rule 1: every call that was accepted gets exactly one final response before the client's
 * timeout, and nothing is sent for it after that. Rule 2: no call is executed twice unless its product permits that. Rule 3: an upstream
 * that is draining, removed or in maintenance is sent no new requests.
 */
package gorsestack.proxy;
