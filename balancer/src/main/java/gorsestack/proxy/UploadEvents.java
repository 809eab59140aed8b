package gorsestack.proxy;

import gorsestack.decision.BalancingPolicy;
import gorsestack.wire.ClientConnection;

/**
 * Handles the progress of large request bodies, whose calls have no deadline before their last byte was sent. Used by
 * {@link CallDispatcher}. Owned by the event loop's thread.
 */
final class UploadEvents {
    private final CallTable calls;
    private final CallDeadlines deadlines;
    private final AttemptRunner attempts;
    private final BalancingPolicy policy;
    private final InputClock clock;
    /** The step of the clock in nanoseconds; an attempt ends two steps before its call. */
    private final long clockResolution;

    UploadEvents(
            CallTable calls,
            CallDeadlines deadlines,
            AttemptRunner attempts,
            BalancingPolicy policy,
            InputClock clock,
            long clockResolution) {
        this.calls = calls;
        this.deadlines = deadlines;
        this.attempts = attempts;
        this.policy = policy;
        this.clock = clock;
        this.clockResolution = clockResolution;
    }

    /** Handles that part of the body is no longer held. */
    void notReplayable(ClientConnection client) {
        ActiveCall call = calls.byClient(client);
        if (call != null) {
            policy.onRequestBody(clock.tick(), call.id, -1);
        }
    }

    /** Handles that the body is not read on. */
    void heldBack(ClientConnection client) {
        ActiveCall call = calls.byClient(client);
        if (call != null) {
            deadlines.watchHeldBack(call);
        }
    }

    /** Handles that the body has arrived; the client may have sent its last byte at {@code sentAt}. */
    void complete(ClientConnection client, long sentAt) {
        ActiveCall call = calls.byClient(client);
        if (call != null) {
            long remaining = deadlines.start(call, sentAt);
            long now = clock.inputTime();
            attempts.restartTimeouts(call, now + remaining - 2 * clockResolution);
            policy.onRequestBody(now, call.id, remaining);
        }
    }
}
