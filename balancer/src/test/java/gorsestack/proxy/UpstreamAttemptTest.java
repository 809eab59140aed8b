package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the states of an attempt, and when its request may be sent. */
class UpstreamAttemptTest {
    private final CallFixture fixture = new CallFixture();
    private final ActiveCall call = new ActiveCall("c", fixture.client(), CallFixture.request("c"), false);

    @Test
    void stateChangesFromConnectingToSentToFinished() {
        UpstreamAttempt attempt = fixture.attempt(call, 100, Long.MAX_VALUE);
        assertEquals(SendGate.State.CONNECTING, attempt.state());
        assertTrue(attempt.mayHaveExecuted(), "an attempt without an outcome may have been executed");
        attempt.written(5);
        assertEquals(SendGate.State.SENT, attempt.state());
        attempt.ended(Outcome.REJECTED, null);
        assertEquals(SendGate.State.FINISHED, attempt.state());
        assertEquals(Outcome.REJECTED, attempt.outcome());
        assertFalse(attempt.mayHaveExecuted());
        assertEquals(List.of("sent 5", "finished"), fixture.events);
    }

    @Test
    void keepsTheFirstOutcomeAndStaysFinishedAfterALateWrite() {
        UpstreamAttempt attempt = fixture.attempt(call, 100, Long.MAX_VALUE);
        attempt.ended(Outcome.TIMED_OUT, null);
        attempt.ended(Outcome.FULFILLED, null);
        attempt.written(5);
        assertEquals(Outcome.TIMED_OUT, attempt.outcome());
        assertEquals(SendGate.State.FINISHED, attempt.state());
        assertTrue(attempt.mayHaveExecuted());
        assertEquals(List.of("finished", "sent 5"), fixture.events, "a write after the outcome is reported too");
    }

    @Test
    void doesNotSendARequestAtItsDeadlineOrAtTheEndOfItsRetryWindow() {
        UpstreamAttempt attempt = fixture.attempt(call, 100, Long.MAX_VALUE);
        UpstreamAttempt retry = fixture.attempt(call, 100, 50);
        fixture.now = 49;
        assertTrue(attempt.mayBeSent());
        assertTrue(retry.mayBeSent());
        fixture.now = 50;
        assertTrue(attempt.mayBeSent());
        assertFalse(retry.mayBeSent());
        fixture.now = 100;
        assertFalse(attempt.mayBeSent());
    }

    @Test
    void doesNotSendARequestIfTheClientDisconnectedOrTheCallOrAttemptEnded() {
        UpstreamAttempt attempt = fixture.attempt(call, 100, Long.MAX_VALUE);
        fixture.clientOpen = false;
        assertFalse(attempt.mayBeSent());
        fixture.clientOpen = true;
        assertTrue(attempt.mayBeSent());
        call.end(fixture);
        assertFalse(attempt.mayBeSent());

        UpstreamAttempt finished = fixture.attempt(
                new ActiveCall("d", fixture.client(), CallFixture.request("d"), false), 100, Long.MAX_VALUE);
        finished.ended(Outcome.CANCELLED, null);
        assertFalse(finished.mayBeSent());
    }

    @Test
    void timesOutAtTheDeadlineUnlessTheTimerIsCancelled() {
        UpstreamAttempt attempt = fixture.attempt(call, 100, Long.MAX_VALUE);
        attempt.scheduleTimeout();
        fixture.runUntil(99);
        assertNull(attempt.outcome());
        fixture.runUntil(100);
        assertEquals(Outcome.TIMED_OUT, attempt.outcome());

        UpstreamAttempt cancelled = fixture.attempt(call, 200, Long.MAX_VALUE);
        cancelled.scheduleTimeout();
        cancelled.cancelTimeout();
        fixture.runUntil(300);
        assertNull(cancelled.outcome());
    }

    @Test
    void countsTheTimeoutFromTheEndOfALargeBody() {
        UpstreamAttempt attempt = fixture.attempt(call, Long.MAX_VALUE, Long.MAX_VALUE);
        assertTrue(attempt.bodyIncomplete());
        attempt.restartTimeout(20, 120);
        assertFalse(attempt.bodyIncomplete());
        assertEquals(20, attempt.startedAt());
        fixture.runUntil(120);
        assertEquals(Outcome.TIMED_OUT, attempt.outcome());
    }
}
