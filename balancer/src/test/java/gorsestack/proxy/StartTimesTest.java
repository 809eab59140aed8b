package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests start times reported by a wall clock that is set by seconds or an hour, forwards or backwards. */
class StartTimesTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long SLOW_START = 20 * SECOND;
    private static final long[] CLOCK_STEPS = {-3_600 * SECOND, -7 * SECOND, 0, 7 * SECOND, 3_600 * SECOND};
    private final long now = 1_700_000_000L * SECOND;
    private final StartTimes times = new StartTimes(SLOW_START);

    private long convertedStart(
            EndpointUpdate.Kind form, String id, long reportedAt, long monotonicNow, long wallClock, long confirmedAt) {
        Endpoint entry = new Endpoint(id, EndpointState.READY, reportedAt, OptionalInt.of(0), 1, "", Optional.of("a"));
        return times.onMonotonicClock(new EndpointUpdate(form, List.of(entry)), monotonicNow, wallClock, confirmedAt)
                .endpoints()
                .get(0)
                .startedAt();
    }

    /** The clock is set on all machines, or only on this one, before an upstream restarts; its slow start begins at its restart. */
    @Test
    void aRestartWhileTheListIsWatchedIsRecentWhateverClockWasSet() {
        for (long stepOnAllMachines : CLOCK_STEPS) {
            for (long stepOnThisMachine : CLOCK_STEPS) {
                String id = "s" + stepOnAllMachines + stepOnThisMachine;
                long monotonicNow = now + 60 * SECOND;
                long restartedAt = monotonicNow - 2 * SECOND;
                long started = convertedStart(
                        EndpointUpdate.Kind.DELTA,
                        id,
                        restartedAt + stepOnAllMachines,
                        monotonicNow,
                        monotonicNow + stepOnAllMachines + stepOnThisMachine,
                        monotonicNow - SECOND);
                assertTrue(
                        started <= monotonicNow && started >= monotonicNow - 10 * SECOND,
                        id + ": age " + (monotonicNow - started));
            }
        }
    }

    /** A complete list after the clock was set reports the same starts. */
    @Test
    void aStartReportedAgainKeepsItsTimeIfTheClockWasSet() {
        long first = convertedStart(EndpointUpdate.Kind.DELTA, "s", now - 5 * SECOND, now, now, now - SECOND);
        assertEquals(now - 5 * SECOND, first);
        for (long clockStep : CLOCK_STEPS) {
            long later = now + 30 * SECOND;
            assertEquals(
                    first,
                    convertedStart(
                            EndpointUpdate.Kind.SNAPSHOT,
                            "s",
                            now - 5 * SECOND,
                            later,
                            later + clockStep,
                            later - SECOND));
        }
    }

    /** Starts in the cached or the first list may be old, as there is no earlier confirmation that limits their age. */
    @Test
    void anOldStartInTheFirstListKeepsItsAge() {
        long oldStart = now - 100 * SECOND;
        assertEquals(oldStart, convertedStart(EndpointUpdate.Kind.CACHED, "s1", oldStart, now, now, 0));
        assertEquals(oldStart, convertedStart(EndpointUpdate.Kind.SNAPSHOT, "s2", oldStart, now, now, 0));
        assertEquals(
                0,
                convertedStart(EndpointUpdate.Kind.DELTA, "s3", 0, now, now + 3_600 * SECOND, now - SECOND),
                "a start of 0 stays 0, which counts as long ago");
    }

    /** An upstream may have started long ago if discovery was unavailable since then. */
    @Test
    void aStartDuringAnOutageOfDiscoveryKeepsItsAge() {
        long startDuringOutage = now - 60 * SECOND;
        assertEquals(
                startDuringOutage,
                convertedStart(EndpointUpdate.Kind.DELTA, "s", startDuringOutage, now, now, now - 90 * SECOND));
        assertEquals(
                now,
                convertedStart(EndpointUpdate.Kind.DELTA, "t", startDuringOutage, now, now, now - SECOND),
                "a start that is older than the last confirmation allows counts as now");
    }
}
