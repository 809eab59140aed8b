package gorsestack.decision;

/**
 * Schedules the watch of the endpoint list, for the first time and after a failure. Used by {@link BalancingPolicy} on
 * its thread. Keeps no state besides the timer that it schedules.
 */
final class EndpointWatchSchedule {
    /** The token of the watch's timer. The timers of calls have tokens from 1 on. */
    static final long TIMER_TOKEN = 0;

    /**
     * Divisor of the watch deadline: the first watches of a fleet are spread over a fifth of it, because all balancers
     * may start at once and discovery is one small service.
     */
    private static final double FIRST_WATCH_SPREAD_DIVISOR = 5;
    /** Shortest delay of a retry, as a fraction of the watch deadline. */
    private static final double MIN_RETRY_DELAY_FRACTION = 0.2;

    /** Largest random addition to the delay of a retry, as a fraction of the watch deadline. */
    private static final double RETRY_JITTER_FRACTION = 0.4;

    private final long watchDeadline;
    private final SeededRandom random;
    private final PolicyActions actions;

    EndpointWatchSchedule(Settings.Rules rules, SeededRandom random, PolicyActions actions) {
        watchDeadline = rules.watchDeadline();
        this.random = random;
        this.actions = actions;
    }

    /** Schedules the first watch at a random time within the first fifth of the watch deadline. */
    void scheduleFirst(long now) {
        actions.scheduleTimer(TIMER_TOKEN, now + (long) (random.next() * watchDeadline / FIRST_WATCH_SPREAD_DIVISOR));
    }

    /**
     * Schedules a retry of a failed watch. Without the retry, this balancer would never notice a drain. The retry comes
     * within the time after which a drain counts as announced, with jitter so that retries do not overload discovery.
     */
    void scheduleRetry(long now) {
        double delay = MIN_RETRY_DELAY_FRACTION + RETRY_JITTER_FRACTION * random.next();
        actions.scheduleTimer(TIMER_TOKEN, now + (long) (delay * watchDeadline));
    }
}
