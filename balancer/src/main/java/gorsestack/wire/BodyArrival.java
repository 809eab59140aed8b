package gorsestack.wire;

import java.util.ArrayDeque;

/**
 * Estimates when a client may have sent the last byte of a body that this side does not read on at the speed of the client. The client counts
 * its time from that byte, which may wait in the buffers of both systems long before it is read. Used by {@link ClientRequestReader} on the
 * event loop's thread only.
 */
final class BodyArrival {
    /** Result of {@link #mayBeCompleteSince} if the last byte cannot have been sent. */
    static final long INCOMPLETE = Long.MAX_VALUE;

    /** The most that the systems on both sides hold of what was sent and not read: 4 MiB to send, 2 MiB received, and a reserve. */
    private static final long MAX_UNREAD_BYTES = 8L << 20;
    /** Time of reading without a pause after which nothing that was sent is unread. */
    private static final long SETTLE_NANOS = 100_000_000;
    /** Bytes between two recorded positions. */
    private static final long CHECKPOINT_BYTES = 1L << 20;

    private record Checkpoint(long offset, long readAt) {}

    /** The body's length, or -1 if it is not known. */
    private final long length;

    private final ArrayDeque<Checkpoint> checkpoints = new ArrayDeque<>(2);
    /** Time since which reading has not been fast enough; {@link #INCOMPLETE} if it has. */
    private long heldSince = INCOMPLETE;

    private boolean paused;
    private long resumedAt;
    private long readBytes;

    /**
     * Creates the state of a body that is read as it arrives.
     *
     * @param length the declared length in bytes, or -1
     */
    BodyArrival(long length) {
        this.length = length;
    }

    /** Records that the body is not read on. */
    void pause(long now) {
        if (caughtUp(now)) {
            heldSince = now;
        }
        paused = true;
    }

    /** Records that the body is read on. */
    void resume(long now) {
        paused = false;
        resumedAt = now;
    }

    /** Returns whether all that the client has sent has been read. */
    private boolean caughtUp(long now) {
        return heldSince == INCOMPLETE || (!paused && now - resumedAt >= SETTLE_NANOS);
    }

    /** Records how many bytes of the body have been read. */
    void read(long now, long bytes) {
        readBytes = bytes;
        if (checkpoints.isEmpty() || bytes - checkpoints.getLast().offset >= CHECKPOINT_BYTES) {
            checkpoints.addLast(new Checkpoint(bytes, now));
        }
    }

    /**
     * Returns the earliest time at which the last byte may have been sent, or {@link #INCOMPLETE} if it cannot have been sent yet or would
     * have been read.
     */
    long mayBeCompleteSince(long now) {
        if (caughtUp(now)) {
            return INCOMPLETE;
        }
        if (length < 0) {
            return Math.max(heldSince, readTime(readBytes - MAX_UNREAD_BYTES));
        }
        long mustBeRead = length - MAX_UNREAD_BYTES;
        return readBytes < mustBeRead ? INCOMPLETE : Math.max(heldSince, readTime(mustBeRead));
    }

    /** Returns a time, not after that at which this many bytes had been read. */
    private long readTime(long bytes) {
        long time = Long.MIN_VALUE;
        for (Checkpoint checkpoint : checkpoints) {
            if (checkpoint.offset > bytes) {
                break;
            }
            time = checkpoint.readAt;
        }
        return time;
    }
}
