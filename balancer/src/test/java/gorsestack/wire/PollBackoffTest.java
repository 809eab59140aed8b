package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.settings.Limits;
import org.junit.jupiter.api.Test;

/** Guards against balancers that reopen their watches at the same time after they were refused together. */
class PollBackoffTest {
    private static final Limits LIMITS = Limits.of(
            new ObjectMapper().createObjectNode().put("sockets", 1024), new ObjectMapper().createObjectNode());

    @Test
    void drawsShortDelayBetweenZeroAndReconnectJitter() {
        assertEquals(0, new PollBackoff(LIMITS, () -> 0).shortDelay());
        assertEquals(LIMITS.discovery().reconnectJitterNanos() / 2, new PollBackoff(LIMITS, () -> 0.5).shortDelay());
    }

    @Test
    void drawsDelayAfterFailureBetweenQuarterAndAllOfRemainingRetryTime() {
        long spent = LIMITS.discovery().maxRetryDelayNanos() / 2;
        long remaining = LIMITS.discovery().maxRetryDelayNanos() - spent;
        assertEquals((long) (remaining * 0.25), new PollBackoff(LIMITS, () -> 0).delayAfterFailure(spent));
        assertEquals((long) (remaining * 0.625), new PollBackoff(LIMITS, () -> 0.5).delayAfterFailure(spent));
    }

    @Test
    void drawsDelayFromReconnectJitterWhenFailureTookLongerThanRetryTime() {
        long tooLong = 2 * LIMITS.discovery().maxRetryDelayNanos();
        assertEquals(
                (long) (LIMITS.discovery().reconnectJitterNanos() * 0.25),
                new PollBackoff(LIMITS, () -> 0).delayAfterFailure(tooLong));
    }

    @Test
    void drawsOnceForEachDelay() {
        int[] draws = {0};
        PollBackoff backoff = new PollBackoff(LIMITS, () -> {
            draws[0]++;
            return 0.5;
        });
        backoff.shortDelay();
        assertEquals(1, draws[0]);
        backoff.delayAfterFailure(0);
        assertEquals(2, draws[0]);
    }
}
