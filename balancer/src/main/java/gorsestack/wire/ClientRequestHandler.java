package gorsestack.wire;

import gorsestack.decision.Settings;
import gorsestack.invariant.CloseReason;

/** Receives the calls and the events of clients' connections. Implemented by the proxy's dispatcher; called on the event loop's thread. */
public interface ClientRequestHandler {
    /** Called when a client's connection has been accepted. */
    void opened(ClientConnection from);

    /**
     * Called when a request is complete, or its head is and its body will be relayed. The response goes to
     * {@link ClientConnection#respond}.
     *
     * @param arrivedAt when its last byte was read, or the last one so far of a relayed body, on the event loop's clock
     */
    void call(ClientConnection from, Request request, long arrivedAt);

    /** Called when part of the relayed body of the open call is no longer held: the request cannot be sent a second time. */
    void requestNotReplayable(ClientConnection from);

    /** Called when the relayed body of the open call is not read on, so that its last byte may have been sent without being seen. */
    default void requestHeldBack(ClientConnection from) {}

    /**
     * Called when the relayed body of the open call has arrived to its last byte.
     *
     * @param arrivedAt the earliest time at which the client may have sent that byte, on the event loop's clock
     */
    void requestBodyComplete(ClientConnection from, long arrivedAt);

    /** Returns the budget for the memory that all large bodies share. */
    BufferBudget bufferBudget();

    /**
     * Called when the client has disconnected, its connection is given up or its request is rejected. A call that is open gets no response.
     */
    void clientDisconnected(ClientConnection from);

    /** Called when the connection has ended; may be called twice. */
    void closed(ClientConnection from);

    /**
     * Called once when the connection has ended.
     *
     * @param responseIncomplete whether a request that was read completely has no complete response
     */
    default void ended(ClientConnection from, CloseReason reason, boolean responseIncomplete) {}

    /** Returns whether the balancer is ready to serve; used for the health check. */
    boolean ready();

    /** Returns the name of the current recovery phase for the health check; empty if there is nothing to report. */
    default String recoveryPhase() {
        return "";
    }

    /** Returns whether connections are to be closed after their next response. */
    boolean closing();

    /** Returns whether and how calls of this product may be retried; null for an unknown product. */
    Settings.Repeat repeat(String product);
}
