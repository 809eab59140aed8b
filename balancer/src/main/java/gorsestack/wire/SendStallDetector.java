package gorsestack.wire;

import gorsestack.settings.Limits;
import java.util.function.BooleanSupplier;

/**
 * Detects an upstream that has stopped reading the body of a request. Without this, an upload would wait for good, as its call has no
 * deadline before its last byte has arrived and its client's connection is not read meanwhile. Used by {@link UpstreamConnection} on the
 * event loop's thread only.
 */
final class SendStallDetector {
    private final Limits limits;
    private final EventLoop eventLoop;
    private final BooleanSupplier sending;
    private final Runnable onStall;
    private SendProgress progress;
    private boolean checkScheduled;
    private Runnable cancelCheck = () -> {};

    /**
     * Creates a detector that watches nothing yet.
     *
     * @param sending whether a request has begun to be sent and its last byte has not been sent
     * @param onStall called when the upstream has stopped reading it
     */
    SendStallDetector(Limits limits, EventLoop eventLoop, BooleanSupplier sending, Runnable onStall) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.sending = sending;
        this.onStall = onStall;
    }

    /** Records that a part of the body is about to be queued, and begins to watch unless that has begun already. */
    void beforeWrite(Channel channel) {
        if (!checkScheduled) {
            checkScheduled = true;
            // The request's head may wait already, and the system may not have had the time to take it.
            progress = new SendProgress(limits, eventLoop, channel);
            cancelCheck = eventLoop.at(progress.stallsAt(), this::check);
        }
    }

    /** Stops watching for good. Without this, the timer would keep a connection that has ended in memory. */
    void stop() {
        cancelCheck.run();
    }

    private void check() {
        if (!sending.getAsBoolean()) {
            checkScheduled = false;
        } else if (progress.stalled()) {
            onStall.run();
        } else {
            cancelCheck = eventLoop.at(progress.stallsAt(), this::check);
        }
    }
}
