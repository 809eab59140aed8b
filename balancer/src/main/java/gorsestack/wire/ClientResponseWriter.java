package gorsestack.wire;

import gorsestack.settings.Limits;

/**
 * The writing side of a client's connection: counts the responses that wait to be sent in the {@link BufferBudget}, and detects a client
 * that has stopped reading them. Progress is what the system has taken of them, and what it has taken at once is given the time that it
 * takes to read, so a client that reads slowly and steadily is not taken for one that has stopped. Used by {@link ClientConnection} on the
 * event loop's thread only.
 */
final class ClientResponseWriter {
    /** The most that the systems on both sides are expected to take at once, as they wait until a part of their buffers is free. */
    private static final long MAX_SYSTEM_BUFFER_BYTES = 1L << 20;

    /** The time that the slowest reader takes for a byte: 64 kB per second. */
    private static final long SLOWEST_READER_NANOS_PER_BYTE = 15_625;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final BufferBudget budget;
    private Channel channel;
    /** Number of bytes that the system had taken when this was last looked at. */
    private long sentBytes;
    /** Time at which the system last took bytes, or at which the first of those that wait was written. */
    private long progressedAt;
    /** Time at which the slowest reader has read what the system has taken. */
    private long readBy;
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
    }

    /** Queues bytes to be sent. May close this connection or others, if too many bytes wait in all. */
    void write(byte[] bytes) {
        if (channel.unsent() == 0) {
            progressedAt = eventLoop.now();
        }
        channel.write(bytes);
        countUnsent();
    }

    /** Records that a write has been sent. */
    void sent() {
        recordProgress();
        countUnsent();
    }

    long unsent() {
        return channel.unsent();
    }

    /** Returns whether so many bytes wait that no further request is begun: otherwise a client that reads nothing fills the heap. */
    boolean congested() {
        return channel.unsent() > limits.buffer().relayBytes();
    }

    /** Returns whether the client has stopped reading. */
    boolean stalled(long now) {
        long since = stalledSince();
        return since < Long.MAX_VALUE
                && now >= Math.max(since, readBy) + limits.upstream().streamStallTimeoutNanos();
    }

    /** Returns since when the system has taken none of the bytes that wait; Long.MAX_VALUE if none wait. */
    long stalledSince() {
        recordProgress();
        return !closed && channel.unsent() > 0 ? progressedAt : Long.MAX_VALUE;
    }

    private void recordProgress() {
        long taken = channel.sentBytes() - sentBytes;
        if (taken > 0) {
            sentBytes += taken;
            progressedAt = eventLoop.now();
            long unread = Math.min(taken, MAX_SYSTEM_BUFFER_BYTES);
            long untilRead = Math.max(0, readBy - progressedAt) + unread * SLOWEST_READER_NANOS_PER_BYTE;
            readBy = progressedAt + Math.min(untilRead, MAX_SYSTEM_BUFFER_BYTES * SLOWEST_READER_NANOS_PER_BYTE);
        }
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
