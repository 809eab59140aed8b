package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against throttling after the restart of a single balancer, and against throttling that does not end. */
class RestartStormDetectorTest {
    private static final long SECOND = 1_000_000_000L;

    @Test
    void detectsNoStormWhenOnlyOneBalancerRestarts() {
        RestartStormDetector detector = new RestartStormDetector(0, 10 * SECOND);
        detector.onDiscoveryRejection();
        detector.setRecentlyStartedFraction(Double.NaN);
        for (int i = 0; i < 400; i++) {
            detector.onRequest(i * SECOND / 40, i % 3 == 0);
            assertEquals(0, detector.level(i * SECOND / 40));
        }
        detector.setRecentlyStartedFraction(0.3);
        assertEquals(0, detector.level(SECOND));
    }

    @Test
    void levelDeclinesToZeroOverDurationForEachKindOfEvidence() {
        RestartStormDetector rejected = new RestartStormDetector(0, 10 * SECOND);
        rejected.onDiscoveryRejection();
        rejected.onDiscoveryRejection();
        RestartStormDetector recentlyStarted = new RestartStormDetector(0, 10 * SECOND);
        recentlyStarted.setRecentlyStartedFraction(0.7);
        RestartStormDetector retries = new RestartStormDetector(0, 10 * SECOND);
        for (int i = 0; i < 80; i++) {
            retries.onRequest(i * SECOND / 40, i % 4 > 0);
        }
        for (RestartStormDetector detector : new RestartStormDetector[] {rejected, recentlyStarted, retries}) {
            assertEquals(0.8, detector.level(2 * SECOND), 1e-9);
            assertEquals(0.5, detector.level(5 * SECOND), 1e-9);
            assertEquals(0, detector.level(10 * SECOND));
            assertEquals(0, detector.level(99 * SECOND));
        }
        // Retries that have ended are no evidence.
        for (int i = 80; i < 200; i++) {
            retries.onRequest(i * SECOND / 40, false);
        }
        assertEquals(0, retries.level(5 * SECOND));
    }
}
