package gorsestack.decision;

import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;

/**
 * Rule 2: no call is executed twice unless its product permits that. Decides whether, where and by whom a call may be repeated once an
 * attempt of it may have executed; no other class decides that. Used by the classes of this package; stateless.
 */
final class RepeatSafety {
    private RepeatSafety() {}

    /** Returns whether another attempt may be safe at some upstream. */
    static boolean mayRepeat(CallState call, long now) {
        CallAttempt first = call.firstPossiblyExecutedAttempt();
        return first == null
                || call.product.repeat() == Repeat.IDEMPOTENT
                || (call.product.repeat() == Repeat.DEDUPLICATED
                        && now - first.timedFrom < call.product.repeatWindow());
    }

    /**
     * Returns whether an attempt at this upstream is safe: a deduplicated call goes only where its repeat is recognized. Where that is a zone
     * or a cell, the processes at both upstreams must be known to be the listed ones.
     */
    static boolean isSafeAt(Product product, CallAttempt firstPossiblyExecuted, UpstreamState upstream) {
        if (firstPossiblyExecuted == null || product.repeat() == Repeat.IDEMPOTENT || product.scope() == Scope.ALL) {
            return true;
        }
        if (!upstream.identity.isKnown()) {
            return false;
        }
        Endpoint first = firstPossiblyExecuted.sentTo;
        Endpoint next = upstream.endpoint;
        return product.scope() == Scope.ZONE ? first.sharesZoneWith(next) : first.sharesCellWith(next);
    }

    /** Returns whether the client may repeat the call through any balancer, which a rate-limit response promises. */
    static boolean mayClientRepeat(CallState call) {
        return call.firstPossiblyExecutedAttempt() == null
                || call.product.repeat() == Repeat.IDEMPOTENT
                || (call.product.repeat() == Repeat.DEDUPLICATED && call.product.scope() == Scope.ALL);
    }
}
