package gorsestack.recovery;

/**
 * Detects that this process has restarted together with most of its fleet. Any of three observations is evidence: discovery rejects
 * requests, most peers have started recently, or most client requests are retries. Used by the recovery coordinator on the event loop's
 * thread. Callers pass the current time; this class performs no I/O.
 */
public final class RestartStormDetector {
    /** Fraction of recently started peers above which they are evidence. In a rolling restart few peers start at the same time. */
    private static final double MAX_RECENTLY_STARTED_FRACTION = 0.5;
    /** Fraction of retries among the requests of a window above which they are evidence of a restart. */
    private static final double MAX_RETRY_FRACTION = 0.5;
    /** Minimum number of rejections by discovery. One may occur by chance, a second one only while many balancers send requests. */
    private static final int MIN_REJECTIONS = 2;

    /** Length in nanoseconds of the windows in which requests are counted. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** Minimum number of requests in a window for the retry rate to count. A balancer receives some tens of requests per second. */
    private static final int MIN_REQUESTS = 10;

    private final long startedAt;
    private final long duration;
    private int discoveryRejections;
    private double recentlyStartedFraction;
    private long windowStart;
    private int requests;
    private int retries;
    private boolean retryStorm;

    /**
     * Creates a detector at the start of this process.
     *
     * @param duration time in nanoseconds after the start until which observations are attributed to a restart
     */
    public RestartStormDetector(long now, long duration) {
        startedAt = now;
        windowStart = now;
        this.duration = duration;
    }

    /** Records that discovery has rejected a request for the endpoint list. */
    public void onDiscoveryRejection() {
        discoveryRejections++;
    }

    /** Sets the fraction of peers that had started recently; NaN if it is not known. */
    public void setRecentlyStartedFraction(double fraction) {
        recentlyStartedFraction = Double.isNaN(fraction) ? 0 : fraction;
    }

    /**
     * Counts a request.
     *
     * @param retry whether the client marks the request as a retry
     */
    public void onRequest(long now, boolean retry) {
        if (now - windowStart >= WINDOW_NANOS) {
            retryStorm = mostAreRetries();
            windowStart = now;
            requests = 0;
            retries = 0;
        }
        requests++;
        retries += retry ? 1 : 0;
    }

    private boolean mostAreRetries() {
        return requests >= MIN_REQUESTS && retries > MAX_RETRY_FRACTION * requests;
    }

    /**
     * Returns the level of the restart storm from 0 to 1. Without evidence it is 0; with evidence it declines linearly from 1 at the start
     * of the process to 0 at the end of the duration.
     */
    public double level(long now) {
        boolean evidence = discoveryRejections >= MIN_REJECTIONS
                || recentlyStartedFraction > MAX_RECENTLY_STARTED_FRACTION
                || retryStorm
                || mostAreRetries();
        return evidence ? Math.max(0, 1 - (now - startedAt) / (double) duration) : 0;
    }
}
