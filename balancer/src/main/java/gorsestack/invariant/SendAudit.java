package gorsestack.invariant;

import gorsestack.decision.Endpoint;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;

/**
 * Audits a request after it was written, from the times observed at the sockets, independently of the decision to send it and of the check
 * made just before the write. Used by the proxy for each attempt; stateless and thread-safe. Allocates nothing unless a rule is violated.
 */
public final class SendAudit {
    /** Tolerated delay between the check before the write and the write itself, as the process may be paused in between. */
    private static final long PAUSE_TOLERANCE_NANOS = 150_000_000L;
    /** Time within which a client's disconnect must take effect. */
    private static final long DISCONNECT_GRACE_NANOS = 100_000_000L;

    private SendAudit() {}

    /**
     * Returns the name of the violation if the written request must not have been sent, otherwise null. All times are in nanoseconds on the
     * event loop's clock; Long.MAX_VALUE means "never".
     *
     * @param startedAt when the first byte of the request was written
     * @param deadline when the attempt times out
     * @param sendBy the latest time at which the upstream would still recognize the request as a duplicate
     * @param endedAt when the call received its final response or its client disconnected
     * @param clientDisconnected whether the call ended because its client disconnected
     * @param drainingSince when this process learned that the upstream accepts no new requests
     * @param drainGrace the time for which new requests may still be sent after that
     */
    public static String sendViolation(
            long startedAt,
            long deadline,
            long sendBy,
            long endedAt,
            boolean clientDisconnected,
            long drainingSince,
            long drainGrace) {
        if (clientDisconnected && startedAt - DISCONNECT_GRACE_NANOS > endedAt) {
            return "client_left";
        }
        if (!clientDisconnected && startedAt > endedAt) {
            return "after_final_answer";
        }
        if (startedAt - PAUSE_TOLERANCE_NANOS > deadline) {
            return "after_its_time";
        }
        if (startedAt - PAUSE_TOLERANCE_NANOS > sendBy) {
            return "after_repeat_window";
        }
        if (drainingSince < Long.MAX_VALUE && startedAt - drainGrace > drainingSince) {
            return "after_drain_grace";
        }
        return null;
    }

    /**
     * Returns the name of the violation if the attempt is an unsafe retry, given an earlier attempt of the same call that may have
     * executed, otherwise null.
     *
     * @param startedAt when the first byte of the attempt's request was written
     * @param earlierDecidedAt when the earlier attempt was decided on
     * @param earlier the upstream of the earlier attempt as it was listed at that time, null if it was not
     * @param current the upstream of this attempt as it was listed when the attempt was started, null if it was not
     */
    public static String retryViolation(
            Product product, long startedAt, long earlierDecidedAt, Endpoint earlier, Endpoint current) {
        if (product.repeat() == Repeat.IDEMPOTENT) {
            return null;
        }
        if (product.repeat() == Repeat.NON_IDEMPOTENT) {
            return "earlier_may_have_run";
        }
        if (startedAt - PAUSE_TOLERANCE_NANOS > earlierDecidedAt + product.repeatWindow()) {
            return "repeat_window_over";
        }
        return product.scope() == Scope.ALL ? null : scopeViolation(product.scope(), earlier, current);
    }

    private static String scopeViolation(Scope scope, Endpoint earlier, Endpoint current) {
        if (earlier == null || current == null) {
            return "group_unknown";
        }
        boolean known = scope == Scope.ZONE
                ? earlier.zone().isPresent() && current.zone().isPresent()
                : earlier.cell().isPresent() && current.cell().isPresent();
        if (!known) {
            return "group_unknown";
        }
        boolean same = scope == Scope.ZONE
                ? earlier.zone().equals(current.zone())
                : earlier.cell().equals(current.cell());
        return same ? null : "outside_group";
    }
}
