package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.LearnedLocality;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against concurrency limits that are too high after a restart, because they came from another zone or from a single peer. */
class PeerLearnedStateTest {
    private final PeerLearnedState collected = new PeerLearnedState(List.of("a", "b"));

    private static List<LearnedLocality> learned(double limit) {
        return List.of(LearnedLocality.ofRow(limit, 0.2, 0.1, 9, 3), LearnedLocality.ofRow(2 * limit, 0.4, 0.2, 9, 3));
    }

    @Test
    void mergesLowestLimitAndMeanLatencyRatios() {
        collected.add(collected.withZoneHashes(learned(5)));
        collected.add(collected.withZoneHashes(List.of(LearnedLocality.ofRow(4, 0.4, 0.3, 9))));
        List<LearnedLocality> merged = collected.merged();
        assertEquals(2, merged.size());
        assertEquals(4, merged.get(0).concurrencyLimit());
        assertEquals(0.3, merged.get(0).latencyRatio(), 1e-9);
        assertEquals(0.2, merged.get(0).baselineLatencyRatio(), 1e-9);
        assertEquals(0, merged.get(0).responseRate());
        assertEquals(LearnedLocality.ofRow(10, 0.4, 0.2, 0), merged.get(1));
    }

    @Test
    void ignoresStateOfPeersInOtherZones() {
        PeerLearnedState ofPeerInZoneB = new PeerLearnedState(List.of("b", "a"));
        collected.add(ofPeerInZoneB.withZoneHashes(learned(5)));
        collected.add(List.of());
        assertTrue(collected.isEmpty());
        collected.add(collected.withZoneHashes(learned(5)));
        assertTrue(!collected.isEmpty());
        collected.clear();
        assertTrue(collected.isEmpty());
    }

    @Test
    void sendsNoMoreLocalitiesThanThereAreZones() {
        assertEquals(
                1, new PeerLearnedState(List.of("a")).withZoneHashes(learned(5)).size());
    }
}
