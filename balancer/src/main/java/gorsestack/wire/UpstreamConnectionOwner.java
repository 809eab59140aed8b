package gorsestack.wire;

/** The pool that owns upstream connections. Called by them on the event loop's thread. */
public interface UpstreamConnectionOwner {
    /** Called when the connection has been established without an attempt, or when its response is complete and it can be reused. */
    void becameIdle(UpstreamConnection connection);

    /** Called when the connection has ended; may be called twice. */
    void closed(UpstreamConnection connection);

    /** Called when bytes have arrived on the connection, which were read from its socket at {@code readAt}. */
    void bytesReceived(UpstreamConnection connection, long readAt);

    /** Called when a reused connection ended while a request was under way and no byte of its response had arrived. */
    void reusedConnectionLost();

    /** Returns whether the connect may continue although no attempt waits for it. */
    boolean mayContinueConnecting(UpstreamConnection connection);

    /** Called when bytes have arrived that belong to no response, and when a response without a length has ended with its connection. */
    void unexpectedBytes();

    /** Returns whether the upstream still accepts new requests at this connection's address. */
    boolean acceptsRequests(UpstreamConnection connection);

    /** Returns the budget for the memory that all large bodies share. */
    BufferBudget bufferBudget();

    /** Called when the peer has ended or refused the connection, so that the next process at its address may be another one. */
    default void contactLost(UpstreamConnection connection) {}
}
