package gorsestack.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds every size, count and time limit of the program, grouped by subject. Derived once at the start; immutable. Values that the
 * factories define as constants follow from this program, the protocol or discovery and are the same in every deployment; values that
 * differ between deployments are derived from the settings.
 *
 * @param client the limits on connections of clients
 * @param upstream the limits on connections to upstreams
 * @param buffer the limits on buffered data
 * @param discovery the timings of the watch on service discovery
 * @param shutdown the timings of the graceful shutdown
 * @param admin the limits on the admin listener
 * @param call the timings of calls and of the checks on them
 */
public record Limits(
        ClientLimits client,
        UpstreamLimits upstream,
        BufferLimits buffer,
        DiscoveryTimings discovery,
        ShutdownTimings shutdown,
        AdminLimits admin,
        CallTimings call) {

    static final long NANOS_PER_MILLI = 1_000_000;
    /** Descriptors for other uses: the JVM itself needs 19 to 30 (jar, modules, selectors, log), operators up to 16 more. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** The supervisor delays SIGKILL by the longest client timeout, but by no more than this. */
    private static final double MAX_SHUTDOWN_TIMEOUT_MILLIS = 3_000;

    private static final double DEFAULT_DRAIN_GRACE_MILLIS = 2_000;

    /**
     * Derives all limits.
     *
     * @param limits the limits in the configuration, which {@link SettingsCheck} has checked
     * @param settings the settings in the configuration, which {@link SettingsCheck} has checked
     */
    public static Limits of(JsonNode limits, JsonNode settings) {
        int sockets = limits.path("sockets").asInt() - RESERVED_DESCRIPTORS;
        JsonNode connections = settings.path("limits");
        long connectTimeoutNanos = nanos(connections.path("connectTimeout").asDouble());
        long upstreamIdleNanos = nanos(connections.path("connIdle").asDouble());
        long drainGraceNanos = nanos(settings.path("rules").path("drainGrace").asDouble(DEFAULT_DRAIN_GRACE_MILLIS));
        boolean pushed = settings.path("membershipMode").asText().equals("automatic");
        double longestTimeoutMillis = 0;
        double longestObjectiveMillis = 0;
        double strictestObjectiveMillis = Double.MAX_VALUE;
        for (JsonNode product : settings.path("products")) {
            double timeoutMillis = product.path("clientTimeout").asDouble();
            double objectiveMillis = product.path("latencySlo").asDouble();
            longestTimeoutMillis = Math.min(MAX_SHUTDOWN_TIMEOUT_MILLIS, Math.max(longestTimeoutMillis, timeoutMillis));
            longestObjectiveMillis = Math.max(longestObjectiveMillis, objectiveMillis);
            strictestObjectiveMillis = Math.min(strictestObjectiveMillis, objectiveMillis);
        }
        return new Limits(
                ClientLimits.of(sockets),
                UpstreamLimits.of(
                        sockets, connectTimeoutNanos, upstreamIdleNanos, drainGraceNanos, strictestObjectiveMillis),
                BufferLimits.standard(),
                DiscoveryTimings.of(pushed, drainGraceNanos),
                ShutdownTimings.of(longestTimeoutMillis, longestObjectiveMillis),
                AdminLimits.standard(),
                CallTimings.standard());
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
