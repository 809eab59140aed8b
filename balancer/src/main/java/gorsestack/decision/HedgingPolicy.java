package gorsestack.decision;

import gorsestack.decision.Settings.Repeat;

/**
 * Decides whether a call may have a further attempt and when it starts: a hedged request while another attempt is in flight, or a retry.
 * Used by {@link BalancingPolicy} on its thread; the state is in {@link CallState}.
 */
final class HedgingPolicy {
    /** Longest hedging delay as a fraction of the latency objective, so that most second attempts still meet the objective. */
    private static final double MAX_DELAY_PER_SLO = 0.6;
    /** Maximum number of attempts while one is in flight and one may have executed. */
    private static final int MAX_CONCURRENT_ATTEMPTS = 2;

    private final Settings.Limits limits;

    HedgingPolicy(Settings.Limits limits) {
        this.limits = limits;
    }

    /** Sets a new call's attempt limit and hedging delay: one where a repeat could do harm or the body is incomplete, else up to two. */
    void plan(CallState call, long now) {
        boolean single = call.bodyIncomplete || call.product.repeat() == Repeat.NON_IDEMPOTENT;
        call.attemptLimit = single ? 1 : Math.min(MAX_CONCURRENT_ATTEMPTS, limits.maxAttempts());
        call.hedgingDelay =
                Math.min((call.deadline - now) / call.attemptLimit, (long) (MAX_DELAY_PER_SLO * call.product.slo()));
    }

    /** Returns whether a further attempt is allowed at all, now or later. */
    boolean mayAttemptAgain(CallState call, long now) {
        // The limit applies only while an attempt is in flight and one may have executed. Otherwise two quick failures
        // would end the call with most of its time unused.
        boolean atLimit = call.attemptCount >= call.attemptLimit
                && call.attemptsInFlight > 0
                && call.firstPossiblyExecutedAttempt() != null;
        if (call.notReplayable
                || atLimit
                || call.attemptCount >= Math.min(CallState.MAX_ATTEMPTS, limits.maxAttempts())) {
            return false;
        }
        return RepeatSafety.mayRepeat(call, now);
    }

    /** Returns whether an attempt that is allowed should start now. */
    boolean isAttemptDue(CallState call, long now) {
        return now >= call.nextAttemptAt || call.attemptsInFlight == 0;
    }

    /** Sets the time of the attempt after the one that is about to start. */
    void scheduleNext(CallState call, long now) {
        call.nextAttemptAt = (call.attemptCount == 0 ? now : call.nextAttemptAt) + call.hedgingDelay;
    }

    /** Returns whether the settings forbid an attempt because another one is in flight. */
    boolean isHedgeForbidden(CallState call) {
        return !limits.hedgingAllowed() && call.attemptsInFlight > 0;
    }
}
