package gorsestack.wire;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Detects a response that has begun and stopped arriving. Without this, a response that is shorter than its declared length would never
 * end, and would keep its call open until the call's time is over. Used by {@link UpstreamConnection} on the event loop's thread only.
 */
final class StallDetector {
    private final EventLoop eventLoop;
    private final BooleanSupplier incomplete;
    private final LongSupplier timeout;
    private final Runnable onStall;
    private long lastByteAt;
    /** Whether reading is suspended on this side, so that the upstream is not the cause of the silence. */
    private boolean paused;

    private boolean checkScheduled;
    private Runnable cancelCheck = () -> {};

    /**
     * Creates a detector that watches nothing yet.
     *
     * @param incomplete whether a response has begun and not ended
     * @param timeout how long such a response may be silent, in nanoseconds
     * @param onStall called when it has been silent for the timeout
     */
    StallDetector(EventLoop eventLoop, BooleanSupplier incomplete, LongSupplier timeout, Runnable onStall) {
        this.eventLoop = eventLoop;
        this.incomplete = incomplete;
        this.timeout = timeout;
        this.onStall = onStall;
    }

    /** Begins a new attempt, whose response is not paused. */
    void reset() {
        paused = false;
    }

    void pause(boolean nowPaused) {
        paused = nowPaused;
        lastByteAt = eventLoop.now();
    }

    void bytesReceived() {
        lastByteAt = eventLoop.now();
    }

    /** Returns when bytes last arrived, or reading was last paused or resumed. */
    long lastByteAt() {
        return lastByteAt;
    }

    /** Begins to watch an incomplete response, unless it is being watched already. */
    void watch() {
        if (incomplete.getAsBoolean() && !checkScheduled) {
            checkScheduled = true;
            scheduleCheck();
        }
    }

    private void scheduleCheck() {
        cancelCheck = eventLoop.at(lastByteAt + timeout.getAsLong(), this::check);
    }

    /** Stops watching for good. Without this, the timer would keep a connection that has ended in memory. */
    void stop() {
        cancelCheck.run();
    }

    private void check() {
        if (!incomplete.getAsBoolean()) {
            checkScheduled = false;
        } else if (!paused && eventLoop.now() >= lastByteAt + timeout.getAsLong()) {
            onStall.run();
        } else {
            lastByteAt = paused ? eventLoop.now() : lastByteAt;
            scheduleCheck();
        }
    }
}
