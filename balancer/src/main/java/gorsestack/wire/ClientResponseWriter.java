package gorsestack.wire;

import gorsestack.settings.Limits;
import java.util.Arrays;

/**
 * The writing side of a client's connection: counts the responses that wait to be sent in the {@link BufferBudget}, and detects a client
 * that has stopped reading them. Used by {@link ClientConnection} on the event loop's thread only.
 */
final class ClientResponseWriter {
    /**
     * The largest write. The network holds the array of a write until the system has taken its last byte, so that a long response would
     * occupy all of its memory until its end.
     */
    private static final int MAX_WRITE_BYTES = 16 << 10;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final BufferBudget budget;
    private Channel channel;
    private SendProgress progress;
    /** Number of unsent bytes that are counted in the budget. */
    private long countedBytes;

    private boolean closed;

    ClientResponseWriter(Limits limits, EventLoop eventLoop, BufferBudget budget) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.budget = budget;
    }

    void opened(Channel openedBy) {
        channel = openedBy;
        progress = new SendProgress(limits, eventLoop, openedBy);
    }

    /** Queues bytes to be sent. If too many wait in all, this connection or others are closed a moment later. */
    void write(byte[] bytes) {
        progress.beforeWrite();
        if (bytes.length <= MAX_WRITE_BYTES) {
            channel.write(bytes);
        } else {
            writeInParts(bytes);
        }
        countUnsent();
    }

    private void writeInParts(byte[] bytes) {
        for (int begin = 0; begin < bytes.length; begin += MAX_WRITE_BYTES) {
            channel.write(Arrays.copyOfRange(bytes, begin, Math.min(bytes.length, begin + MAX_WRITE_BYTES)));
        }
    }

    /** Records that a write has been sent. */
    void sent() {
        progress.update();
        countUnsent();
    }

    long unsent() {
        return channel.unsent();
    }

    /** Returns whether so many bytes wait that no further request is begun: otherwise a client that reads nothing fills the heap. */
    boolean congested() {
        return channel.unsent()
                > (budget.responsesScarce() ? 0 : limits.buffer().relayBytes());
    }

    /** Returns whether the client has stopped reading. */
    boolean stalled() {
        return !closed && progress.stalled();
    }

    /** Returns the time by which a client that reads has taken some of the bytes that wait; Long.MAX_VALUE if none wait. */
    long expectedBy() {
        return closed ? Long.MAX_VALUE : progress.expectedBy();
    }

    private void countUnsent() {
        if (!closed) {
            count(channel.unsent());
        }
    }

    private void count(long unsentBytes) {
        long change = unsentBytes - countedBytes;
        countedBytes = unsentBytes;
        budget.addResponseBytes(change);
    }

    /** Releases what is counted: the bytes that wait are dropped with the connection. */
    void closed() {
        if (!closed) {
            closed = true;
            count(0);
        }
    }
}
