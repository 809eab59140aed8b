package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests what a call's state records about its attempts. */
class CallStateTest {
    private static UpstreamState upstream(int index) {
        return new UpstreamState(index);
    }

    @Test
    void returnsFirstPossiblyExecutedAndLastAttemptAndCountsThoseInFlight() {
        CallState call = new CallState(
                "c",
                1,
                PolicySimulation.settings(1, 0, 2, false, Scope.ALL).products().get(0));
        assertNull(call.firstPossiblyExecutedAttempt());
        call.addAttempt(new CallAttempt(upstream(0), 0));
        call.addAttempt(new CallAttempt(upstream(1), 0));
        assertSame(call.attempt(0), call.firstPossiblyExecutedAttempt());
        call.attempt(0).neverExecuted = true;
        assertSame(call.attempt(1), call.firstPossiblyExecutedAttempt());
        assertSame(call.lastAttempt(), call.attempt(1));
        assertEquals(2, call.attemptsInFlight);
    }

    @Test
    void hasTriedOnlyUpstreamsOfItsAttempts() {
        CallState call = new CallState(
                "c",
                1,
                PolicySimulation.settings(1, 0, 2, false, Scope.ALL).products().get(0));
        UpstreamState tried = upstream(0);
        call.addAttempt(new CallAttempt(tried, 0));
        assertTrue(call.hasTried(tried));
        assertFalse(call.hasTried(upstream(0)), "another upstream with the same slot number");
    }
}
