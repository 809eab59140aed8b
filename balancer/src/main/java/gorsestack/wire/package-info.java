/**
 * Connections and messages: the HTTP/1.1 parser, client and upstream connections, the watch on discovery, and the sockets under them.
 *
 * <p>{@link gorsestack.wire.Network}, {@link gorsestack.wire.Channel} and {@link gorsestack.wire.ConnectionHandler} separate the
 * protocol from the sockets. Handlers run on the event loop's thread only; {@link gorsestack.wire.MinaNetwork} implements the sockets
 * on Apache MINA's "io" threads. The package decides nothing about calls: requests go to {@link gorsestack.wire.ClientRequestHandler},
 * outcomes of attempts to {@link gorsestack.wire.AttemptListener}, lists of endpoints to
 * {@link gorsestack.wire.DiscoveryWatch.Listener}.
 *
 * <p>Comments refer to two rules by number. Rule 1: every call that was accepted gets exactly one final response before the client's
 * timeout, and nothing is sent for it after that. Rule 2: no call is executed twice unless its product permits that.
 */
package gorsestack.wire;
