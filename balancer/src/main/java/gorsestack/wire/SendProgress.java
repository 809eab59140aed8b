package gorsestack.wire;

import gorsestack.settings.Limits;

/**
 * Follows what the system takes of the bytes that a connection sends, and detects a peer that has stopped reading them. What the system
 * takes at once is given the time that it takes to read, so a peer that reads slowly and steadily is not taken for one that has stopped.
 * Used on the event loop's thread only.
 */
final class SendProgress {
    /** The most that the systems on both sides are expected to take at once, as they wait until a part of their buffers is free. */
    private static final long MAX_SYSTEM_BUFFER_BYTES = 1L << 20;

    /** The time that the slowest reader takes for a byte: 64 kB per second. */
    private static final long SLOWEST_READER_NANOS_PER_BYTE = 15_625;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final Channel channel;
    /** Number of bytes that the system had taken when this was last looked at. */
    private long sentBytes;
    /** Time at which the system last took bytes, or before which none of those that wait were written. */
    private long progressedAt;
    /** Time at which the slowest reader has read what the system has taken. */
    private long readBy;

    SendProgress(Limits limits, EventLoop eventLoop, Channel channel) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.channel = channel;
        sentBytes = channel.sentBytes();
        progressedAt = eventLoop.now();
    }

    /** Records that bytes are about to be queued. */
    void beforeWrite() {
        if (channel.unsent() == 0) {
            progressedAt = eventLoop.now();
        }
    }

    /** Records what the system has taken since the last call. */
    void update() {
        long taken = channel.sentBytes() - sentBytes;
        if (taken > 0) {
            sentBytes += taken;
            progressedAt = eventLoop.now();
            long unread = Math.min(taken, MAX_SYSTEM_BUFFER_BYTES);
            long untilRead = Math.max(0, readBy - progressedAt) + unread * SLOWEST_READER_NANOS_PER_BYTE;
            readBy = progressedAt + Math.min(untilRead, MAX_SYSTEM_BUFFER_BYTES * SLOWEST_READER_NANOS_PER_BYTE);
        } else if (channel.unsent() == 0) {
            progressedAt = eventLoop.now();
        }
    }

    /**
     * Returns the time by which the slowest reader has read so much that the system takes some of the bytes that wait; Long.MAX_VALUE if
     * none wait. A peer of which the system has taken nothing by then is not reading.
     */
    long expectedBy() {
        update();
        return channel.unsent() > 0 ? Math.max(progressedAt, readBy) : Long.MAX_VALUE;
    }

    /** Returns the time at which the peer has stopped if the system takes nothing until then. */
    long stallsAt() {
        update();
        return Math.max(progressedAt, readBy) + limits.upstream().streamStallTimeoutNanos();
    }

    /** Returns whether bytes wait and the peer has stopped reading. */
    boolean stalled() {
        update(); // Also while nothing waits, as the time is counted from the last such moment.
        return channel.unsent() > 0 && eventLoop.now() >= stallsAt();
    }
}
