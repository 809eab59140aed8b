package gorsestack.decision;

/**
 * Limits repeated attempts to a fraction of the successful ones. Without it every hedging timer fires when all upstreams are slow, and the
 * additional attempts make them slower still. Used by {@link BalancingPolicy} on its thread.
 */
final class RetryBudget {
    /** Balance earned per response. It allows three hedges per hundred responses; one slow upstream in some hundreds is expected. */
    private static final double EARNED_PER_RESPONSE = 0.03;
    /** Maximum balance, which bounds the burst after a long time without repeats. */
    private static final double MAX_BALANCE = 10;
    /** Cost of an attempt while another one is in flight. */
    private static final double HEDGE_COST = 1;
    /** Cost of an attempt after a failure: no other attempt is in flight, so the budget allows three for each hedged request. */
    private static final double RETRY_COST = 0.3;

    private double balance;

    /** Adds what one successful response earns. */
    void onResponse() {
        balance = Math.min(MAX_BALANCE, balance + EARNED_PER_RESPONSE);
    }

    /**
     * Returns the cost of the call's next attempt; 0 as long as all earlier attempts provably never executed. Without the lower cost of
     * retries, a call would wait for its next attempt with none in flight.
     */
    double cost(CallState call) {
        if (call.firstPossiblyExecutedAttempt() == null) {
            return 0;
        }
        return call.attemptsInFlight == 0 ? RETRY_COST : HEDGE_COST;
    }

    boolean covers(double cost) {
        return balance >= cost;
    }

    void spend(double cost) {
        balance -= cost;
    }
}
