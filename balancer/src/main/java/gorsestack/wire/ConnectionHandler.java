package gorsestack.wire;

/** Receives the events of one connection, all on the event loop's thread. */
public interface ConnectionHandler {
    /** Called when the connection has been established. */
    void opened(Channel channel);

    /**
     * Called when bytes have arrived.
     *
     * @param readAt when they were read from the socket, on the event loop's clock
     */
    void received(byte[] bytes, long readAt);

    /** Called when one write has been sent to its last byte. */
    void sent();

    /** Called when the peer has ended its stream in order; {@link #closed} follows. */
    default void ended() {}

    /** Called when handling another event of the connection has thrown; ends the connection, and {@link #closed} follows. */
    default void failed(Channel channel) {
        channel.close();
    }

    /**
     * Called when the connection could not be established for a reason on this machine (descriptors, buffers, addresses, routes); no other
     * event follows.
     */
    default void connectFailedLocally() {
        closed();
    }

    /** Called when the connection has ended or could not be established. No other event follows, but this method may be called twice. */
    void closed();
}
