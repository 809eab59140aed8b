package gorsestack.wire;

/**
 * Tracks how far the request of an attempt has been sent. {@link UpstreamConnection} reuses one for all its attempts. Used on the event
 * loop's thread, except for {@link #release}.
 */
final class RequestProgress {
    /** Whether the request waits for the connection to be established. */
    private boolean waitsForConnection;

    /** Bytes of a relayed body that are not queued yet; negative if its length is not known. */
    private long unqueuedBodyBytes;

    private boolean relayed;
    private boolean bodyComplete;
    /** Number of writes that the socket has not reported as sent yet. */
    private int pendingWrites;

    private boolean writtenReported;
    /** Whether the sockets' thread found that the request may not be sent, and has written nothing of it. */
    private volatile boolean denied;
    /** Time at which the sockets' thread released the request's first byte or denied it. */
    private volatile long firstByteAt;

    /**
     * Begins a new attempt.
     *
     * @param relayedBytes the length of the body that is relayed, 0 if none is; negative if its length is not known
     */
    void reset(long relayedBytes, boolean connecting) {
        unqueuedBodyBytes = relayedBytes;
        relayed = relayedBytes != 0;
        bodyComplete = !relayed;
        pendingWrites = 0;
        waitsForConnection = connecting;
    }

    /** Records that the first write of the request is about to be queued. */
    void begin() {
        denied = false;
        writtenReported = false;
        pendingWrites++;
    }

    /** Records whether and when the first byte is released; called on the sockets' thread right before that byte is sent. */
    boolean release(long now, boolean allowed) {
        firstByteAt = now;
        denied = !allowed;
        return allowed;
    }

    /**
     * Records that a part of the relayed body is about to be queued. The last byte of a known length completes the body, whether or not
     * {@link #bodyComplete} follows: the upstream needs nothing more to begin.
     */
    void writeQueued(int bytes) {
        pendingWrites++;
        unqueuedBodyBytes -= bytes;
        bodyComplete |= unqueuedBodyBytes == 0;
    }

    void writeSent() {
        pendingWrites--;
    }

    void bodyComplete() {
        bodyComplete = true;
    }

    boolean waitsForConnection() {
        return waitsForConnection;
    }

    void stopWaiting() {
        waitsForConnection = false;
    }

    boolean denied() {
        return denied;
    }

    long firstByteAt() {
        return firstByteAt;
    }

    /**
     * Returns whether the socket has sent the last byte. A request that waits for its connection has not been sent, so it cannot have been
     * processed.
     */
    boolean written() {
        return bodyComplete && !waitsForConnection && pendingWrites == 0;
    }

    /**
     * Returns whether the last byte of a relayed body was given to the socket. The socket may send it at any time until the connection is
     * closed, and does not check again whether the request is still wanted.
     */
    boolean lastRelayedByteQueued() {
        return relayed && bodyComplete && !waitsForConnection;
    }

    /** Returns whether this is the first time that {@link #written} is true for the attempt. */
    boolean becameWritten() {
        boolean became = written() && !writtenReported;
        writtenReported |= became;
        return became;
    }

    /** Returns whether the last byte may have been sent, as far as the socket knows. */
    boolean mayBeWritten(Channel channel) {
        return bodyComplete && !waitsForConnection && (pendingWrites == 0 || channel.unsent() == 0);
    }
}
