package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a recovery whose phases are reported too early, or never because discovery or calls are missing. */
class RecoveryProgressTest {
    private static final long MS = 1_000_000;
    private final List<String> phases = new ArrayList<>();
    private final RecoveryProgress progress = new RecoveryProgress(
            1000 * MS, 10_000 * MS, 20_000 * MS, (phase, reason) -> phases.add(phase + ": " + reason));

    /** Records one call per interval, of which the given number in ten succeed. */
    private void recordCalls(int fromMs, int untilMs, int intervalMs, int successfulOfTen) {
        for (int timeMs = fromMs, n = 0; timeMs < untilMs; timeMs += intervalMs, n++) {
            progress.onResponse(timeMs * MS, n % 10 < successfulOfTen);
        }
    }

    @Test
    void entersEachPhaseWhenItsConditionHolds() {
        progress.onAcceptingClients(1100 * MS);
        assertEquals(RecoveryPhase.COLD, progress.phase(), "clients are accepted, but there is no list");
        assertEquals(11_000 * MS, progress.deadline());
        progress.onListReceived(1400 * MS);
        assertEquals(List.of("LISTED: endpoint list received from discovery", "WARMING: accepting clients"), phases);
        assertEquals(1400 * MS, progress.phaseStartedAt());
        recordCalls(1400, 2250, 50, 9);
        assertEquals(RecoveryPhase.WARMING, progress.phase(), "the window is not evaluated yet");
        recordCalls(2250, 6000, 50, 9);
        assertEquals(RecoveryPhase.WARMING, progress.phase(), "only nine of ten calls succeed");
        recordCalls(6000, 8500, 50, 10);
        assertEquals("FULL", phases.get(2).substring(0, 4));
        recordCalls(8500, 12_000, 50, 0);
        assertEquals(RecoveryPhase.FULL, progress.phase(), "failures after the recovery change no phase");
        assertEquals(Long.MAX_VALUE, progress.deadline());
    }

    @Test
    void entersEachPhaseAtItsDeadlineWithoutItsCondition() {
        progress.check(10_999 * MS);
        assertEquals(RecoveryPhase.COLD, progress.phase());
        progress.check(11_000 * MS);
        assertEquals(RecoveryPhase.LISTED, progress.phase());
        assertEquals(List.of("LISTED: using the restored endpoint list, none received from discovery in time"), phases);
        progress.onAcceptingClients(12_000 * MS);
        assertEquals(32_000 * MS, progress.deadline());
        recordCalls(12_000, 31_000, 50, 5);
        assertEquals(RecoveryPhase.WARMING, progress.phase());
        progress.check(32_000 * MS);
        assertEquals("FULL: slow start of the upstreams is over", phases.get(2));
    }

    @Test
    void staysInWarmingWhenCallsAreTooFew() {
        progress.onListReceived(1100 * MS);
        progress.onAcceptingClients(1200 * MS);
        recordCalls(1200, 20_000, 400, 10);
        assertEquals(RecoveryPhase.WARMING, progress.phase());
    }
}
