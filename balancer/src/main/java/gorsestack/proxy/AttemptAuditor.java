package gorsestack.proxy;

import gorsestack.decision.Settings;
import gorsestack.invariant.Invariants;
import gorsestack.invariant.Rule;
import gorsestack.invariant.SendAudit;

/**
 * Checks requests that were written and rate-limit responses that were decided on against the invariants, and counts violations. Used by
 * {@link AttemptRunner} and {@link CallResponder}. Owned by the event loop's thread.
 */
final class AttemptAuditor {
    private final Invariants invariants;
    private final ProductTable products;
    private final UpstreamConnectionPool pool;
    private final long drainGrace;

    AttemptAuditor(Invariants invariants, ProductTable products, UpstreamConnectionPool pool, long drainGrace) {
        this.invariants = invariants;
        this.products = products;
        this.pool = pool;
        this.drainGrace = drainGrace;
    }

    /** Audits an attempt whose request was written, with its first byte at {@code firstByteAt}. */
    void checkSent(UpstreamAttempt attempt, long firstByteAt) {
        ActiveCall call = attempt.call;
        String violation = SendAudit.sendViolation(
                firstByteAt,
                attempt.deadline(),
                attempt.sendBy(),
                call.endedAt(),
                call.clientDisconnected(),
                pool.drainingSince(attempt.upstream),
                drainGrace);
        if (violation != null) {
            invariants.violated(Rule.SEND, call.id, violation);
        }
        Settings.Product product = products.of(call.request());
        for (int i = 0; i < attempt.number; i++) {
            UpstreamAttempt earlier = call.attempts.get(i);
            if (earlier.mayHaveExecuted()) {
                checkRetry(attempt, firstByteAt, product, earlier);
            }
        }
    }

    private void checkRetry(
            UpstreamAttempt attempt, long firstByteAt, Settings.Product product, UpstreamAttempt earlier) {
        String violation =
                SendAudit.retryViolation(product, firstByteAt, earlier.startedAt(), earlier.sentTo, attempt.sentTo);
        if (violation != null) {
            invariants.violated(Rule.REPEAT, attempt.call.id, violation);
        }
    }

    /** Audits a rate-limit response, which promises the client that a retry is harmless. */
    void checkRateLimited(ActiveCall call) {
        Settings.Product product = products.of(call.request());
        boolean mayHaveExecuted = call.attempts.stream().anyMatch(UpstreamAttempt::mayHaveExecuted);
        boolean harmless = product.repeat() == Settings.Repeat.IDEMPOTENT
                || (product.repeat() == Settings.Repeat.DEDUPLICATED && product.scope() == Settings.Scope.ALL);
        if (mayHaveExecuted && !harmless) {
            invariants.violated(Rule.REPEAT, call.id, "rate_limited_though_it_may_have_run");
        }
    }
}
