package gorsestack.wire;

import gorsestack.settings.Limits;
import java.util.function.ObjLongConsumer;

/**
 * Bounds the memory of all messages in flight: how much of each large body may wait to be sent, how much may be read before there is a
 * target for it, and how much the requests of all clients and the responses to them may occupy. Shared by all connections; used on the
 * event loop's thread only.
 */
public final class BufferBudget {
    /** Bytes that one body may always have waiting, however many bodies there are: a smaller buffer would stall each write. */
    private static final int MIN_RELAY_BYTES = 4 << 10;
    /** The part of the memory for requests, or for responses, past which they are read only as fast as the other side takes them. */
    private static final int SCARCE_DIVISOR = 4;

    private final Limits limits;
    private int openRelays;
    /** Number of large responses that are buffered until they are complete. */
    private int bufferedResponses;
    /** Bytes that all connections together have read and not parsed yet. */
    private int readAheadBytes;
    /** Bytes that the requests of all clients occupy, those that are still arriving included. */
    private int requestBytes;
    /** Bytes of responses that all clients together have not been sent yet. */
    private long responseBytes;
    /** Bytes of incomplete responses that are buffered for all calls together. */
    private int incompleteResponseBytes;
    /** Number of requests refused for lack of memory since the last call of {@link #getAndResetRefused}. */
    private int refusedRequests;

    private Runnable reclaimRequests = () -> {};
    private Runnable reclaimResponses = () -> {};

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
     * part of a response has been passed on, the call can still be retried at another upstream. There is none while the clients leave much
     * unread: a response that is complete can no longer be taken as slowly as its client reads.
     */
    boolean reserveBufferedResponse() {
        if (bufferedResponses >= limits.buffer().maxBufferedResponses() || responsesScarce()) {
            return false;
        }
        bufferedResponses++;
        return true;
    }

    void releaseBufferedResponse() {
        bufferedResponses--;
    }

    /** Sets the action that ends incomplete requests until {@link #requestsExceedLimit} is false or none is left. */
    public void reclaimRequestsBy(Runnable action) {
        reclaimRequests = action;
    }

    /**
     * Counts memory that the requests of clients occupy or, with a negative number, no longer do. If they exceed the limit, incomplete
     * requests are ended, among them perhaps the one that is being counted.
     */
    void addRequestBytes(int change) {
        requestBytes += change;
        reclaimIfExceeded(change);
    }

    private void reclaimIfExceeded(int change) {
        if (change > 0 && requestsExceedLimit()) {
            reclaimRequests.run();
        }
    }

    /** Returns whether the requests of all clients together occupy more memory than they may, those read ahead included. */
    public boolean requestsExceedLimit() {
        return requestBytes + readAheadBytes > limits.buffer().totalRequestBytes();
    }

    /**
     * Returns how much of an upload may be read ahead while its upstream does not take it: nothing while the requests occupy much memory.
     * Without this, uploads to slow upstreams, of which none has stopped, would together exceed the limit, and other requests be refused.
     */
    int uploadReadAheadLimit() {
        boolean scarce = requestBytes + readAheadBytes > limits.buffer().totalRequestBytes() / SCARCE_DIVISOR;
        return scarce ? 0 : relayLimit();
    }

    /** Returns whether a request of this size may be accepted. Small ones always are, so that large ones do not exclude them. */
    boolean acceptsRequest(int bytes) {
        return bytes <= limits.buffer().smallRequestBytes() || !requestsExceedLimit();
    }

    /** Counts a request that was refused for lack of memory. */
    public void requestRefused() {
        refusedRequests++;
    }

    /** Sets the action that has connections closed whose clients do not read, until {@link #responsesExceedLimit} is false. */
    public void reclaimResponsesBy(Runnable action) {
        reclaimResponses = action;
    }

    /**
     * Counts bytes that wait to be sent to a client or, with a negative number, no longer do. If they exceed the limit, connections whose
     * clients do not read are closed a moment later, among them perhaps the one whose bytes are being counted.
     */
    void addResponseBytes(long change) {
        responseBytes += change;
        if (change > 0 && responsesExceedLimit()) {
            reclaimResponses.run();
        }
    }

    /**
     * Returns whether the responses that wait to be sent occupy so much memory that each upstream is read only as fast as its client reads.
     * Without this, clients that read slowly would together exceed the limit, past which connections are closed.
     */
    boolean responsesScarce() {
        return responseBytes > limits.buffer().totalResponseBytes() / SCARCE_DIVISOR;
    }

    /** Returns how many bytes of one response that is relayed may wait to be sent to its client. */
    int responseRelayLimit() {
        return responsesScarce() ? MIN_RELAY_BYTES : relayLimit();
    }

    /** Returns whether the responses that wait to be sent to clients occupy more memory than they may. */
    public boolean responsesExceedLimit() {
        return responseBytes > limits.buffer().totalResponseBytes();
    }

    /** Counts bytes of an incomplete response that is buffered or, with a negative number, no longer is. */
    void addIncompleteResponseBytes(int change) {
        incompleteResponseBytes += change;
    }

    /** Returns whether the incomplete responses that are buffered occupy more memory than they may, so that one has to be relayed. */
    boolean incompleteResponsesExceedLimit() {
        return incompleteResponseBytes > limits.buffer().totalIncompleteResponseBytes();
    }

    /** Reports the bytes that are in use, by what they hold. The names are keys of the status document. */
    public void report(ObjLongConsumer<String> sink) {
        sink.accept("requests", requestBytes);
        sink.accept("readAhead", readAheadBytes);
        sink.accept("incompleteResponses", incompleteResponseBytes);
        sink.accept("responses", responseBytes);
    }

    /** Returns the number of requests refused for lack of memory since the last call. */
    public int getAndResetRefused() {
        int count = refusedRequests;
        refusedRequests = 0;
        return count;
    }

    void addReadAhead(int change) {
        readAheadBytes += change;
        reclaimIfExceeded(change);
    }

    /**
     * Returns whether to go on reading a body that has no target yet. The end of the client's stream is only seen behind its body; if
     * reading stopped, attempts would be started for a client that has disconnected. Bodies reach 32 MB, so all of them together are
     * limited to a part of the heap. Nothing more is read once the limit for all requests is exceeded.
     *
     * @param pendingBytes how much of the body waits for a target
     */
    boolean mayReadAhead(int pendingBytes) {
        boolean fewReadAhead = readAheadBytes <= limits.buffer().totalRelayBytes() / 2;
        int limit = fewReadAhead ? limits.buffer().unroutedBodyBytes() : relayLimit();
        return pendingBytes <= limit && !requestsExceedLimit();
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
