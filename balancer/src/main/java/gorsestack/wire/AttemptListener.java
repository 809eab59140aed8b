package gorsestack.wire;

import gorsestack.decision.Outcome;

/**
 * Receives the events of one attempt from the upstream connection that carries it, and supplies its request. Called on the event loop's
 * thread, except for {@link #mayBeSent}.
 */
public interface AttemptListener {
    /**
     * Called once when the attempt has ended, unless it was given up. The response is present only if the outcome is fulfilled, and null
     * otherwise.
     */
    void ended(Outcome outcome, Response response);

    /** Called just before {@link #ended} with the load that the upstream reported in its response. */
    void reported(String report);

    /**
     * Returns the request's bytes. They are built when they are written, as they state how long the balancer waits for the response after
     * that.
     */
    byte[] request();

    /**
     * Called when the request has been sent to its last byte.
     *
     * @param firstByteAt when its first byte was sent, on the event loop's clock
     */
    default void written(long firstByteAt) {}

    /**
     * Called when the request was not sent because, when it was about to be written, {@link #mayBeSent} returned false or the upstream
     * accepted no more requests. {@link #ended} follows.
     */
    default void notSent() {}

    /**
     * Returns whether the request may still be sent: its call is open, its client is connected, and its time is not over. Also called on
     * the sockets' thread, right before the first byte is sent.
     */
    boolean mayBeSent();
}
