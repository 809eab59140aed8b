package gorsestack.proxy;

import gorsestack.decision.BalancingPolicy;
import gorsestack.invariant.Invariants;
import gorsestack.invariant.RejectionReason;
import gorsestack.settings.Limits;
import gorsestack.wire.EventLoop;

/**
 * Ends each call at its deadline at the latest; while a large request body is incomplete, its call has none. A call that was accepted gets
 * a response in time even if a fault keeps the policy from responding (rule 1). Used by {@link CallDispatcher}. Owned by the event loop's
 * thread.
 */
final class CallDeadlines {
    /** The divisor of the client's timeout that gives the largest margin for writing a response. */
    private static final int RESPONSE_MARGIN_DIVISOR = 10;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final InputClock clock;
    private final ProductTable products;
    private final BalancingPolicy policy;
    private final CallResponder responder;
    private final Invariants invariants;
    /** The time by which every call must have its response; Long.MAX_VALUE until shutdown begins. */
    private long latestResponseAt = Long.MAX_VALUE;

    CallDeadlines(
            EventLoop eventLoop,
            Limits limits,
            InputClock clock,
            ProductTable products,
            BalancingPolicy policy,
            CallResponder responder,
            Invariants invariants) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.clock = clock;
        this.products = products;
        this.policy = policy;
        this.responder = responder;
        this.invariants = invariants;
    }

    /** Schedules the timer of the call's deadline and returns for how many nanoseconds the policy may work on the call. */
    long start(ActiveCall call, long arrivedAt) {
        long timeout = products.clientTimeout(call.request());
        long deadline = Math.min(arrivedAt + timeout, latestResponseAt);
        call.deadlineTimer(
                eventLoop.at(deadline - limits.call().deadlineBackstopNanos(), () -> respondAtDeadline(call)));
        // On a shared core a response may be delayed before it is written, as was seen at a start (rule 1).
        long responseMargin = Math.min(limits.call().responseMarginNanos(), timeout / RESPONSE_MARGIN_DIVISOR);
        return Math.max(0, deadline - responseMargin - clock.tick());
    }

    /**
     * Watches a call whose large request body is not read on, unless that is done already. Its client may have sent the last byte, and counts
     * its time from then; without this, it would have no response until an upstream reads the body or gives up.
     */
    void watchHeldBack(ActiveCall call) {
        if (!call.heldBackWatched() && !call.hasEnded()) {
            call.heldBackWatched(true);
            eventLoop.execute(() -> checkHeldBack(call));
        }
    }

    private void checkHeldBack(ActiveCall call) {
        long sentAt = call.client.uploadMayBeCompleteSince();
        if (call.hasEnded() || sentAt == Long.MAX_VALUE) {
            call.heldBackWatched(false);
            return;
        }
        long timeout = products.clientTimeout(call.request());
        long margin = Math.min(limits.call().responseMarginNanos(), timeout / RESPONSE_MARGIN_DIVISOR);
        long respondBy = Math.min(
                sentAt + timeout - margin, latestResponseAt - limits.call().deadlineBackstopNanos());
        if (eventLoop.now() < respondBy) {
            call.deadlineTimer(eventLoop.at(respondBy, () -> checkHeldBack(call)));
            return;
        }
        invariants.rejected(RejectionReason.BODY_HELD_BACK);
        abort(call);
    }

    /** Limits the deadlines that are set from now on to {@code newLatestResponseAt}. */
    void limit(long newLatestResponseAt) {
        latestResponseAt = newLatestResponseAt;
    }

    /** Applies the limit to a call that was accepted before it was set. Without this, the process would end with the call open. */
    void applyLimit(ActiveCall call) {
        eventLoop.at(latestResponseAt - limits.call().deadlineBackstopNanos(), () -> abort(call));
    }

    private void respondAtDeadline(ActiveCall call) {
        if (!call.hasEnded()) {
            // The lab's checks search the logs for "left unanswered".
            CallTrace.LOG.log(
                    System.Logger.Level.ERROR,
                    "call {0} was left unanswered until its deadline; responded with 504",
                    call.id);
            invariants.rejected(RejectionReason.LEFT_UNANSWERED);
            abort(call);
        }
    }

    private void abort(ActiveCall call) {
        if (!call.hasEnded()) {
            responder.timedOut(call);
            policy.onClientDisconnected(clock.tick(), call.id);
        }
    }
}
