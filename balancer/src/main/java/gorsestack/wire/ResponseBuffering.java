package gorsestack.wire;

import gorsestack.settings.Limits;
import java.util.function.Consumer;

/**
 * Decides whether one upstream connection buffers a large response until it is complete, so that the call can still be retried, or relays
 * it as it arrives. Used by {@link UpstreamConnection} on the event loop's thread only.
 */
final class ResponseBuffering {
    private final Limits limits;
    private final EventLoop eventLoop;
    private final UpstreamConnectionOwner owner;
    private final Consumer<AttemptListener> onSlowResponse;
    /** Whether a place in the budget is reserved. */
    private boolean active;

    /**
     * Creates the state of a connection that buffers nothing.
     *
     * @param onSlowResponse called some time after a response began to be buffered, whether or not it is complete by then
     */
    ResponseBuffering(
            Limits limits,
            EventLoop eventLoop,
            UpstreamConnectionOwner owner,
            Consumer<AttemptListener> onSlowResponse) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.owner = owner;
        this.onSlowResponse = onSlowResponse;
    }

    boolean active() {
        return active;
    }

    /** Returns whether the large response that is arriving for this attempt is buffered, and reserves or releases its place. */
    boolean buffers(HttpParser parser, AttemptListener attempt) {
        if (Math.max(parser.contentLength(), parser.bodyBytes())
                > limits.buffer().bufferedResponseBytes()) {
            release();
        } else if (!active && owner.bufferBudget().reserveBufferedResponse()) {
            active = true;
            eventLoop.at(
                    eventLoop.now() + limits.upstream().responseStallTimeoutNanos(),
                    () -> onSlowResponse.accept(attempt));
        }
        return active;
    }

    /** Returns how long a response that has begun may be silent, in nanoseconds. */
    long stallTimeout(boolean relayed) {
        return relayed || active
                ? limits.upstream().streamStallTimeoutNanos()
                : limits.upstream().responseStallTimeoutNanos();
    }

    void release() {
        if (active) {
            active = false;
            owner.bufferBudget().releaseBufferedResponse();
        }
    }
}
