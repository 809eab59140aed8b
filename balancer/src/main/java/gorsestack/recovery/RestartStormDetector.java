package gorsestack.recovery;

/**
 * Estimates whether many balancers have started at the same time as this process. Any single one of three observations counts as evidence:
 * watches of the endpoint list fail, most peers have started recently, or most calls are retries by clients. Used by the recovery
 * coordinator on the event loop's thread. Callers pass the current time; this class performs no I/O.
 */
public final class RestartStormDetector {
    /** Fraction of recently started peers above which they are evidence. In a rolling restart few peers start at the same time. */
    private static final double RECENTLY_STARTED_THRESHOLD = 0.5;
    /** Fraction of retries among the calls of a window above which they are evidence. */
    private static final double RETRY_THRESHOLD = 0.5;
    /** Minimum number of failed watches that is evidence. One may fail by chance, a second one only while many balancers send requests. */
    private static final int MIN_REJECTIONS = 2;

    /** Length in nanoseconds of the windows in which calls are counted. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /** Minimum number of calls in a window for the fraction of retries to count. A balancer receives some tens of calls per second. */
    private static final int MIN_CALLS = 10;

    private final long startedAt;
    private final long evidencePeriod;
    private int discoveryRejections;
    private double recentlyStartedFraction;
    private long windowStart;
    private int calls;
    private int retries;
    private boolean mostlyRetriesInLastWindow;

    /**
     * Creates a detector at the start of this process.
     *
     * @param evidencePeriod length in nanoseconds of the period after the start in which evidence counts
     */
    public RestartStormDetector(long now, long evidencePeriod) {
        startedAt = now;
        windowStart = now;
        this.evidencePeriod = evidencePeriod;
    }

    /** Records that a watch of the endpoint list ended before it delivered anything, as happens when discovery rejects it. */
    public void onDiscoveryRejection() {
        discoveryRejections++;
    }

    /** Sets the fraction of peers that had started recently; NaN if it is not known. */
    public void setRecentlyStartedFraction(double fraction) {
        recentlyStartedFraction = Double.isNaN(fraction) ? 0 : fraction;
    }

    /**
     * Counts a call.
     *
     * @param retriedByClient whether the client marks the call as a retry
     */
    public void onRequest(long now, boolean retriedByClient) {
        if (now - windowStart >= WINDOW_NANOS) {
            mostlyRetriesInLastWindow = mostAreRetries();
            windowStart = now;
            calls = 0;
            retries = 0;
        }
        calls++;
        retries += retriedByClient ? 1 : 0;
    }

    private boolean mostAreRetries() {
        return calls >= MIN_CALLS && retries > RETRY_THRESHOLD * calls;
    }

    /**
     * Returns the level of the restart storm from 0 to 1. Without evidence it is 0; with evidence it declines linearly from 1 at the start
     * of the process to 0 at the end of the evidence period. Retries are evidence if they prevail in the current window or in the one
     * before it.
     */
    public double level(long now) {
        boolean evidence = discoveryRejections >= MIN_REJECTIONS
                || recentlyStartedFraction > RECENTLY_STARTED_THRESHOLD
                || mostlyRetriesInLastWindow
                || mostAreRetries();
        return evidence ? Math.max(0, 1 - (now - startedAt) / (double) evidencePeriod) : 0;
    }
}
