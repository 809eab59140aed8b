package gorsestack.wire;

import gorsestack.settings.Limits;

/**
 * Bounds the memory of all large bodies in flight: how much of each may wait to be sent, and how much may be read before there is a target
 * for it. Shared by all connections; used on the event loop's thread only.
 */
public final class BufferBudget {
    /** Bytes that one body may always have waiting, however many bodies there are: a smaller buffer would stall each write. */
    private static final int MIN_RELAY_BYTES = 4 << 10;

    private final Limits limits;
    private int openRelays;
    /** Number of large responses that are buffered until they are complete. */
    private int bufferedResponses;
    /** Bytes that all connections together have read and not parsed yet. */
    private int readAheadBytes;

    /** Creates a budget with nothing reserved. */
    public BufferBudget(Limits limits) {
        this.limits = limits;
    }

    void relayStarted() {
        openRelays++;
    }

    void relayEnded() {
        openRelays--;
    }

    /**
     * Reserves a place for one more large response that is buffered until it is complete; returns false if there is none. As long as no
     * part of a response has been passed on, the call can still be retried at another upstream.
     */
    boolean reserveBufferedResponse() {
        if (bufferedResponses >= limits.buffer().maxBufferedResponses()) {
            return false;
        }
        bufferedResponses++;
        return true;
    }

    void releaseBufferedResponse() {
        bufferedResponses--;
    }

    void addReadAhead(int change) {
        readAheadBytes += change;
    }

    /**
     * Returns whether to go on reading a body that has no target yet. The end of the client's stream is only seen behind its body; if
     * reading stopped, attempts would be started for a client that has disconnected. Bodies reach 32 MB, so all of them together are
     * limited to a part of the heap.
     *
     * @param pendingBytes how much of the body waits for a target
     */
    boolean mayReadAhead(int pendingBytes) {
        return pendingBytes <= relayLimit()
                || (pendingBytes <= limits.buffer().unroutedBodyBytes()
                        && readAheadBytes <= limits.buffer().totalRelayBytes() / 2);
    }

    /**
     * Returns how many bytes of one body may wait to be sent. The limit shrinks with the number of bodies: with a fixed one, many bodies at
     * a time would exceed the heap.
     */
    int relayLimit() {
        return Math.max(
                MIN_RELAY_BYTES,
                Math.min(limits.buffer().relayBytes(), limits.buffer().totalRelayBytes() / Math.max(1, openRelays)));
    }
}
