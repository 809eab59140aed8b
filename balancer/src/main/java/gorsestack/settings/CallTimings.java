package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the timings of calls, of the periodic checks on calls and connections, and of the JVM warm-up. Immutable.
 *
 * @param deadlineBackstopNanos how long before its deadline a call is ended if the policy has not ended it. The policy responds two of
 *     its steps before the deadline, so this only ends calls that the policy has missed.
 * @param responseMarginNanos how long before its deadline a response is written, but at most a tenth of the timeout: half of the 99th
 *     percentile of the time that responses take through a balancer during the slowest start. The policy's slack of 50 ms and its two steps
 *     cover the rest. Repeat windows are shortened by this time as well.
 * @param sweepIntervalNanos the interval of the checks on calls and connections
 * @param warmUpNanos the longest duration of each of the two parts of the warm-up; three times what one takes on an idle core
 */
public record CallTimings(
        long deadlineBackstopNanos, long responseMarginNanos, long sweepIntervalNanos, long warmUpNanos) {

    /** Returns the timings, which are the same in every deployment. */
    static CallTimings standard() {
        long deadlineBackstopNanos = TimeUnit.MILLISECONDS.toNanos(2);
        long responseMarginNanos = TimeUnit.MILLISECONDS.toNanos(25);
        long sweepIntervalNanos = TimeUnit.MILLISECONDS.toNanos(250);
        long warmUpNanos = TimeUnit.MILLISECONDS.toNanos(1_000);
        return new CallTimings(deadlineBackstopNanos, responseMarginNanos, sweepIntervalNanos, warmUpNanos);
    }
}
