package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.SeededRandom;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a restarted process that floods its peers with requests or waits for silent ones. */
class StateRequestsTest {
    private static final long MS = 1_000_000;
    private static final List<Integer> REPLICAS = List.of(6, 12, 18);

    private static StateRequests requests(int count) {
        return new StateRequests(0, count, 0, new SeededRandom(1));
    }

    @Test
    void requestsFromReplicasFirstAndFromTwoMorePeersInEachRound() {
        StateRequests requests = requests(24);
        assertTrue(requests.nextRoundAt() >= 0 && requests.nextRoundAt() <= 200 * MS);
        assertTrue(Double.isNaN(requests.silentFraction(0)));
        assertEquals(REPLICAS, requests.startRound(REPLICAS));
        assertTrue(requests.recordResponse(6));
        assertFalse(requests.recordResponse(6), "a duplicate response does not count");
        assertFalse(requests.recordResponse(7), "a response that was not requested does not count");
        List<Integer> second = requests.startRound(REPLICAS);
        assertEquals(4, second.size());
        assertTrue(second.containsAll(List.of(12, 18)) && !second.contains(0));
        assertEquals(6, requests.startRound(REPLICAS).size());
        assertTrue(requests.isComplete(), "the third round is the last one");
    }

    @Test
    void isCompleteWhenAllPeersHaveResponded() {
        StateRequests requests = requests(24);
        requests.startRound(REPLICAS);
        requests.scheduleNextRound(0);
        assertTrue(requests.nextRoundAt() >= 300 * MS && requests.nextRoundAt() <= 450 * MS);
        assertTrue(Double.isNaN(requests.silentFraction(1)), "the first round is not over");
        assertEquals(1, requests.silentFraction(requests.nextRoundAt()));
        REPLICAS.forEach(requests::recordResponse);
        assertTrue(requests.isComplete());
        assertEquals(0, requests.silentFraction(requests.nextRoundAt()));
        requests.finish();
        assertEquals(Long.MAX_VALUE, requests.nextRoundAt());
    }

    @Test
    void ignoresResponseAfterTheLastRound() {
        StateRequests requests = requests(24);
        requests.startRound(REPLICAS);
        requests.finish();
        assertFalse(requests.recordResponse(6));
    }

    @Test
    void sendsNoRequestsWithoutPeers() {
        assertEquals(Long.MAX_VALUE, requests(1).nextRoundAt());
    }
}
