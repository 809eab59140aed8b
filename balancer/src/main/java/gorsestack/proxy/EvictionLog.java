package gorsestack.proxy;

import gorsestack.wire.ClosePriority;
import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the connections that were closed in favour of others, and logs them while no further connection is accepted. Used by
 * {@link ClientConnectionManager} on the event loop's thread only.
 */
final class EvictionLog {
    private static final System.Logger LOG = System.getLogger("gorsestack.client");

    /** The connections that were closed since the last line, by priority; none of a priority that is missing. */
    private final Map<ClosePriority, Integer> closed = new EnumMap<>(ClosePriority.class);

    /** Counts connections of one priority. */
    void add(ClosePriority priority, int count) {
        if (count > 0) {
            closed.merge(priority, count, Integer::sum);
        }
    }

    /** Logs what was closed since the last call if as many connections are open as are accepted, and forgets it. */
    void log(int open, boolean full) {
        if (full) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "client_connections_exhausted open={0} closed_lingering={1} closed_never_used={2} closed_idle={3}"
                            + " closed_stopped={4}",
                    open,
                    count(ClosePriority.LINGERING),
                    count(ClosePriority.NEVER_USED),
                    count(ClosePriority.IDLE),
                    count(ClosePriority.STOPPED));
        }
        closed.clear();
    }

    private int count(ClosePriority priority) {
        return closed.getOrDefault(priority, 0);
    }
}
