package gorsestack.serve;

import com.fasterxml.jackson.databind.JsonNode;

/** Every size, count and time of the service, filled at its start; times in nanoseconds. */
public record Limits(
        int clientConnections,
        int upstreamConnections,
        int backlog,
        int headBytes,
        int bodyBytes,
        int catalogLineBytes,
        long connectTimeout,
        long upstreamIdle,
        long silence,
        long watchSilence,
        long watchSpread,
        long linger,
        long wholeRequest,
        long acceptAfterTerm,
        long endAfterTerm,
        long sweep,
        long warmUp,
        long net,
        long wayOut) {

    private static final long MS = 1_000_000;

    /** From the operators' limits and the settings. */
    public static Limits of(JsonNode limits, JsonNode settings) {
        // The JVM holds about 30 descriptors of its own: jar, modules, selectors, log.
        int sockets = Math.max(64, limits.path("sockets").asInt(1024)) - 48;
        long connect = (long) (settings.path("limits").path("connectTimeout").asDouble(250) * MS);
        long idle = (long) (settings.path("limits").path("connIdle").asDouble(15_000) * MS);
        double longest = 0;
        for (JsonNode product : settings.path("products")) {
            longest = Math.max(longest, product.path("clientTimeout").asDouble(0));
        }
        return new Limits(
                // Clients get the larger part: what cannot be accepted is lost, a shot not sent is only told.
                sockets * 6 / 10,
                sockets * 4 / 10,
                1024,
                16 << 10,
                64 << 10,
                4 << 20,
                connect,
                // Danger: an idle connection at the upstream's limit ends as a reset that may have run.
                idle * 7 / 10,
                // Half of a usual SLO: what has said nothing since is looked at as silent.
                600 * MS,
                // Two and a half of discovery's periods of 2 s; what it has to tell counts as told after 6 s.
                5_000 * MS,
                500 * MS,
                1_000 * MS,
                // Longer than any client waits for an answer.
                10_000 * MS,
                // New connections go on coming for 0.2 to 0.4 s after SIGTERM.
                600 * MS,
                // SIGKILL comes no sooner than the longest client timeout and 0.7 s more.
                (long) (longest * MS) + 650 * MS,
                500 * MS,
                // Each of the two parts of the warm-up takes a third of that on a core of its own.
                1_000 * MS,
                // The module answers two of its steps before the end; this only catches what it left.
                2 * MS,
                // Half of what 99 in 100 answers took through a node at the worst start seen, as the rule's slack of
                // 50 ms and the module's two steps cover the rest. Nobody counts on an answer that late.
                25 * MS);
    }
}
