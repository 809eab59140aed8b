package gorsestack.proxy;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts the start times of upstreams to this process's monotonic clock. Discovery reports them by the wall clock, which may have been
 * set since this process read it, on this machine or on all. Each start is converted once, when it is first reported; if it is reported
 * again, the result is the same even if a clock was set meanwhile. Used by {@link CallDispatcher}. Owned by the event loop's thread.
 */
final class StartTimes {
    /** How long a start is kept after it was last reported, as an upstream that left the list may return without a restart. */
    private static final long RETENTION_NANOS = 600_000_000_000L;

    private record KnownStart(long reportedAt, long startedAt, long lastSeen) {}

    private final long slowStart;
    private final Map<String, KnownStart> known = new HashMap<>();
    private long lastExpiry;

    /** @param slowStart for how long an upstream is in slow start after its start, in nanoseconds */
    StartTimes(long slowStart) {
        this.slowStart = slowStart;
    }

    /**
     * Returns the update with start times on the monotonic clock.
     *
     * @param now the monotonic time, which counts on from the wall clock's time at the start of this process
     * @param wallClock the wall clock's current time
     * @param confirmedAt when the current list was last confirmed; 0 before the first confirmation
     */
    EndpointUpdate onMonotonicClock(EndpointUpdate update, long now, long wallClock, long confirmedAt) {
        boolean live = confirmedAt > 0 && update.kind() != EndpointUpdate.Kind.CACHED;
        long maxAge = live ? now - confirmedAt + slowStart : Long.MAX_VALUE;
        List<Endpoint> converted = new ArrayList<>(update.endpoints().size());
        for (Endpoint endpoint : update.endpoints()) {
            long startedAt = endpoint.startedAt() == 0 ? 0 : startedAt(endpoint, now, wallClock, maxAge);
            converted.add(startedAt == endpoint.startedAt() ? endpoint : endpoint.startedAt(startedAt));
        }
        expire(now);
        return new EndpointUpdate(update.kind(), converted);
    }

    private long startedAt(Endpoint endpoint, long now, long wallClock, long maxAge) {
        KnownStart previous = known.get(endpoint.id());
        long startedAt = previous != null && previous.reportedAt == endpoint.startedAt()
                ? previous.startedAt
                : now - age(endpoint.startedAt(), now, wallClock, maxAge);
        known.put(endpoint.id(), new KnownStart(endpoint.startedAt(), startedAt, now));
        return startedAt;
    }

    /**
     * Returns the lesser of the plausible ages by the two clocks, as treating a warm upstream as one in slow start costs less than the
     * reverse. An upstream that starts while the list is watched cannot be older than {@code maxAge}; the limit prevents it from counting
     * as warm because a clock was set. An implausible age counts as 0.
     */
    private static long age(long reportedAt, long now, long wallClock, long maxAge) {
        long byMonotonic = now - reportedAt;
        long byWallClock = wallClock - reportedAt;
        long age = byMonotonic < 0 ? byWallClock : byWallClock < 0 ? byMonotonic : Math.min(byMonotonic, byWallClock);
        return age < 0 || age > maxAge ? 0 : age;
    }

    private void expire(long now) {
        if (now - lastExpiry >= slowStart) {
            lastExpiry = now;
            known.values()
                    .removeIf(start -> now - start.lastSeen > RETENTION_NANOS && now - start.startedAt > slowStart);
        }
    }
}
