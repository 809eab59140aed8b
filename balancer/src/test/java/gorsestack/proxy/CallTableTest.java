package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Outcome;
import org.junit.jupiter.api.Test;

/** Tests that calls stay in the table until they have a response and their last attempt has finished. */
class CallTableTest {
    private final CallFixture fixture = new CallFixture();
    private final CallTable calls = new CallTable();

    @Test
    void findsACallByIdAndByClientUntilItsResponse() {
        var client = fixture.client();
        ActiveCall call = calls.add(client, CallFixture.request("c"));
        assertSame(call, calls.byId("c"));
        assertSame(call, calls.byClient(client));
        assertTrue(calls.isOpen("c"));
        assertEquals(1, calls.awaitingResponse());

        call.end(fixture);
        assertSame(call, calls.removeClient(client));
        assertFalse(calls.isOpen("c"));
        assertEquals(0, calls.awaitingResponse());
        calls.removeIfFinished(call);
        assertNull(calls.byId("c"));
    }

    @Test
    void keepsACallWithAnAttemptInFlightAndGivesALaterCallWithItsIdAnotherId() {
        ActiveCall first = calls.add(fixture.client(), CallFixture.request("c"));
        UpstreamAttempt attempt = fixture.attempt(first, 100, Long.MAX_VALUE);
        first.attemptStarted(attempt);
        first.end(fixture);
        calls.removeIfFinished(first);
        assertSame(first, calls.byId("c"), "the call stays while its attempt is in flight");

        ActiveCall second = calls.add(fixture.client(), CallFixture.request("c"));
        assertNotSame(first, second);
        assertEquals("c/2", second.id);
        assertEquals("c/3", calls.add(fixture.client(), CallFixture.request("c")).id);

        attempt.ended(Outcome.CANCELLED, null);
        first.attemptFinished();
        calls.removeIfFinished(first);
        assertNull(calls.byId("c"));
        assertSame(second, calls.byId("c/2"));
    }

    /** Guards against two open calls with one id: the table was asked for the bare id, which the first call still had. */
    @Test
    void findsAnOpenCallWhoseOwnIdHasASuffix() {
        var firstClient = fixture.client();
        ActiveCall first = calls.add(firstClient, CallFixture.request("c"));
        first.attemptStarted(fixture.attempt(first, 100, Long.MAX_VALUE));
        first.end(fixture);
        calls.removeClient(firstClient);
        assertFalse(calls.isOpen("c"));

        var secondClient = fixture.client();
        ActiveCall second = calls.add(secondClient, CallFixture.request("c"));
        assertTrue(calls.isOpen("c"));
        second.end(fixture);
        calls.removeClient(secondClient);
        assertFalse(calls.isOpen("c"));
    }

    @Test
    void visitsOnlyCallsWithoutAResponse() {
        ActiveCall ended = calls.add(fixture.client(), CallFixture.request("a"));
        ActiveCall open = calls.add(fixture.client(), CallFixture.request("b"));
        ended.end(fixture);
        var visited = new java.util.ArrayList<ActiveCall>();
        calls.forEachOpen(visited::add);
        assertEquals(java.util.List.of(open), visited);
    }

    @Test
    void endingACallRecordsTimeAndDisconnectAndCancelsItsDeadlineTimer() {
        ActiveCall call = calls.add(fixture.client(), CallFixture.request("c"));
        boolean[] cancelled = {false};
        call.deadlineTimer(() -> cancelled[0] = true);
        assertEquals(Long.MAX_VALUE, call.endedAt());
        fixture.now = 7;
        call.endDisconnected(fixture);
        assertEquals(7, call.endedAt());
        assertTrue(call.clientDisconnected());
        assertTrue(cancelled[0]);
        assertTrue(call.isFinished());
    }
}
