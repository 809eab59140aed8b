package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests the rule that no call takes effect twice. */
class RepeatSafetyTest {
    private static final long SENT_AT = 1000 * MS;
    private static final Endpoint UNKNOWN =
            new Endpoint("u", EndpointState.GONE, 0, OptionalInt.empty(), 1, "", Optional.empty());

    private static CallState call(Repeat repeat, Scope scope) {
        return new CallState("c", 1, PolicySimulation.product("p", repeat, scope));
    }

    private static UpstreamState upstream(int cell, String zone) {
        UpstreamState upstream = new UpstreamState(0);
        upstream.endpoint = entry("u", EndpointState.READY, 0, cell, zone);
        return upstream;
    }

    @Test
    void allowsRepeatOfAnyCallThatNeverExecuted() {
        for (Repeat repeat : Repeat.values()) {
            CallState call = call(repeat, Scope.CELL);
            call.addAttempt(new CallAttempt(upstream(0, "a"), SENT_AT));
            call.attempt(0).neverExecuted = true;
            assertTrue(RepeatSafety.mayRepeat(call, SENT_AT + 10_000 * MS), repeat.name());
            assertTrue(RepeatSafety.mayClientRepeat(call), repeat.name());
            assertTrue(RepeatSafety.isSafeAt(call.product, null, upstream(1, "b")), repeat.name());
        }
    }

    @Test
    void allowsRepeatOfCallThatMayHaveExecutedOnlyWhenHarmless() {
        for (Repeat repeat : Repeat.values()) {
            CallState call = call(repeat, Scope.CELL);
            call.addAttempt(new CallAttempt(upstream(0, "a"), SENT_AT));
            long windowEnd = SENT_AT + call.product.repeatWindow();
            assertEquals(repeat != Repeat.NON_IDEMPOTENT, RepeatSafety.mayRepeat(call, windowEnd - 1), repeat.name());
            assertEquals(repeat == Repeat.IDEMPOTENT, RepeatSafety.mayRepeat(call, windowEnd), repeat.name());
            assertEquals(repeat == Repeat.IDEMPOTENT, RepeatSafety.mayClientRepeat(call), repeat.name());
        }
        CallState deduplicatedByAll = call(Repeat.DEDUPLICATED, Scope.ALL);
        deduplicatedByAll.addAttempt(new CallAttempt(upstream(0, "a"), SENT_AT));
        assertTrue(RepeatSafety.mayClientRepeat(deduplicatedByAll));
    }

    /** What an attempt was sent to stays with it: the list may tell another cell and zone of its upstream later, or none at all. */
    @Test
    void allowsRepeatWhereTheFirstAttemptWasSentWhateverTheListSaysLater() {
        UpstreamState moved = upstream(1, "b");
        CallAttempt first = new CallAttempt(moved, SENT_AT);
        for (Endpoint listed : new Endpoint[] {entry("u", EndpointState.READY, 5, 0, "a"), UNKNOWN}) {
            moved.endpoint = listed;
            for (Scope scope : new Scope[] {Scope.ZONE, Scope.CELL}) {
                Product product = PolicySimulation.product("p", Repeat.DEDUPLICATED, scope);
                assertTrue(RepeatSafety.isSafeAt(product, first, upstream(1, "b")));
                assertFalse(RepeatSafety.isSafeAt(product, first, upstream(0, "a")));
                assertFalse(RepeatSafety.isSafeAt(product, first, moved));
            }
        }
    }

    /** An unknown cell or zone is no value that a real upstream can have, and two of them need not be the same. */
    @Test
    void allowsNoRepeatInAnUnknownGroup() {
        UpstreamState unknown = new UpstreamState(0);
        unknown.endpoint = UNKNOWN;
        for (Scope scope : new Scope[] {Scope.ZONE, Scope.CELL}) {
            Product product = PolicySimulation.product("p", Repeat.DEDUPLICATED, scope);
            assertFalse(RepeatSafety.isSafeAt(product, new CallAttempt(unknown, SENT_AT), upstream(0, "")));
            assertFalse(RepeatSafety.isSafeAt(product, new CallAttempt(upstream(0, ""), SENT_AT), unknown));
            assertFalse(RepeatSafety.isSafeAt(product, new CallAttempt(unknown, SENT_AT), unknown));
        }
    }

    @Test
    void allowsRepeatOfDeduplicatedCallOnlyWithinItsScope() {
        CallAttempt first = new CallAttempt(upstream(0, "a"), SENT_AT);
        Product inCell = PolicySimulation.product("p", Repeat.DEDUPLICATED, Scope.CELL);
        assertTrue(RepeatSafety.isSafeAt(inCell, first, upstream(0, "b")));
        assertFalse(RepeatSafety.isSafeAt(inCell, first, upstream(1, "a")));
        Product inZone = PolicySimulation.product("p", Repeat.DEDUPLICATED, Scope.ZONE);
        assertTrue(RepeatSafety.isSafeAt(inZone, first, upstream(1, "a")));
        assertFalse(RepeatSafety.isSafeAt(inZone, first, upstream(0, "b")));
    }
}
