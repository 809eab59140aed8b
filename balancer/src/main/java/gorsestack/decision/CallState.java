package gorsestack.decision;

import gorsestack.decision.Settings.Product;

/**
 * The state of one API call that is not completed or still has attempts in flight: its request and its attempts. {@link BalancingPolicy}
 * owns it; used on the policy's thread only. Times are in nanoseconds.
 */
final class CallState {
    /** Upper bound whatever the settings allow: after eight attempts that provably never executed, no upstream is reachable. */
    static final int MAX_ATTEMPTS = 8;

    final String id;
    /** Token of this call's timers. */
    final long timerToken;

    final Product product;
    /** Time by which the final response must be sent; Long.MAX_VALUE while the request body is arriving. */
    long deadline;
    /** Number of attempts allowed while one is in flight and one may have executed. */
    int attemptLimit;
    /** Time from the start of one attempt to the start of the next while no response arrives. */
    long hedgingDelay;
    /** Whether the request body is still arriving, so that no upstream has begun the work. */
    boolean bodyIncomplete;
    /** Whether the request body was forwarded without being buffered, so that no further attempt can send it. */
    boolean notReplayable;

    /** Time from which the next attempt may start while another is in flight. */
    long nextAttemptAt;
    /** Time at which to check whether the newest attempt's upstream has responded to anything; Long.MAX_VALUE for never. */
    long responseCheckAt = Long.MAX_VALUE;
    /** Time of the earliest timer that is scheduled for this call; Long.MAX_VALUE if there is none. */
    long timerAt = Long.MAX_VALUE;

    int attemptCount;
    int attemptsInFlight;
    /** Whether the policy's part in the call is over: the client has a response, streamed ones from their start, or has disconnected. */
    boolean completed;

    private final CallAttempt[] attempts = new CallAttempt[MAX_ATTEMPTS];

    CallState(String id, long timerToken, Product product) {
        this.id = id;
        this.timerToken = timerToken;
        this.product = product;
    }

    CallAttempt attempt(int number) {
        return attempts[number];
    }

    CallAttempt lastAttempt() {
        return attempts[attemptCount - 1];
    }

    void addAttempt(CallAttempt attempt) {
        attempts[attemptCount++] = attempt;
        attemptsInFlight++;
    }

    /** Returns the first attempt that may have executed, in flight or not; null if there is none. */
    CallAttempt firstPossiblyExecutedAttempt() {
        for (int i = 0; i < attemptCount; i++) {
            if (!attempts[i].neverExecuted) {
                return attempts[i];
            }
        }
        return null;
    }

    boolean hasTried(UpstreamState upstream) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].upstream == upstream) {
                return true;
            }
        }
        return false;
    }
}
