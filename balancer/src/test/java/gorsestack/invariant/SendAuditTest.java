package gorsestack.invariant;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests that each check reports its own violation and no other. */
class SendAuditTest {
    private static final long MS = 1_000_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long DRAIN_GRACE = 2_000 * MS;

    private static String sendViolation(
            long startedAtMillis,
            long deadline,
            long sendBy,
            long endedAt,
            boolean clientDisconnected,
            long drainingSince) {
        return SendAudit.sendViolation(
                startedAtMillis * MS, deadline, sendBy, endedAt, clientDisconnected, drainingSince, DRAIN_GRACE);
    }

    @Test
    void reportsRequestThatMustNotBeSent() {
        assertNull(sendViolation(1_000, NEVER, NEVER, NEVER, false, NEVER));
        assertEquals("after_final_answer", sendViolation(1_000, NEVER, NEVER, 999 * MS, false, NEVER));
        assertNull(
                sendViolation(1_000, NEVER, NEVER, 950 * MS, true, NEVER),
                "the client disconnected only 0.05 s before the write");
        assertEquals("client_left", sendViolation(1_000, NEVER, NEVER, 850 * MS, true, NEVER));
        assertNull(
                sendViolation(1_000, 900 * MS, NEVER, NEVER, false, NEVER),
                "the write was delayed by no more than 0.1 s");
        assertEquals("after_its_time", sendViolation(1_000, 800 * MS, NEVER, NEVER, false, NEVER));
        assertEquals("after_repeat_window", sendViolation(1_000, NEVER, 800 * MS, NEVER, false, NEVER));
        assertNull(sendViolation(3_000, NEVER, NEVER, NEVER, false, 1_000 * MS), "within the drain grace");
        assertEquals("after_drain_grace", sendViolation(3_001, NEVER, NEVER, NEVER, false, 1_000 * MS));
    }

    private static Product product(Repeat repeat, Scope scope) {
        return new Product("p", repeat, scope, 5_000 * MS, 1_000 * MS, 3_000 * MS, 1, 0.5);
    }

    private static Endpoint upstream(String zone, int cell) {
        return new Endpoint("u" + zone + cell, EndpointState.READY, 0, OptionalInt.of(cell), 1, "", Optional.of(zone));
    }

    /** Guards against a check that is silent about a retry because the upstream of an earlier attempt has left the list. */
    @Test
    void reportsRetryWhoseGroupIsUnknown() {
        Endpoint known = upstream("a", 0);
        Endpoint unknown = new Endpoint("u", EndpointState.READY, 0, OptionalInt.empty(), 1, "", Optional.empty());
        for (Scope scope : new Scope[] {Scope.ZONE, Scope.CELL}) {
            Product product = product(Repeat.DEDUPLICATED, scope);
            for (Endpoint other : new Endpoint[] {unknown, null}) {
                assertEquals("group_unknown", SendAudit.retryViolation(product, 4_000 * MS, 0, other, known));
                assertEquals("group_unknown", SendAudit.retryViolation(product, 4_000 * MS, 0, known, other));
                assertEquals("group_unknown", SendAudit.retryViolation(product, 4_000 * MS, 0, other, other));
            }
        }
        assertNull(SendAudit.retryViolation(product(Repeat.DEDUPLICATED, Scope.ALL), 4_000 * MS, 0, null, null));
    }

    @Test
    void reportsUnsafeRetry() {
        Endpoint first = upstream("a", 1);
        Endpoint inOtherZone = upstream("b", 1);
        Endpoint inOtherCell = upstream("a", 2);
        assertNull(SendAudit.retryViolation(product(Repeat.IDEMPOTENT, Scope.ZONE), 9_000 * MS, 0, first, inOtherZone));
        assertEquals(
                "earlier_may_have_run",
                SendAudit.retryViolation(product(Repeat.NON_IDEMPOTENT, Scope.ALL), 1, 0, first, first));
        Product deduplicated = product(Repeat.DEDUPLICATED, Scope.ZONE);
        assertNull(SendAudit.retryViolation(deduplicated, 4_000 * MS, 0, first, inOtherCell));
        assertEquals("outside_group", SendAudit.retryViolation(deduplicated, 4_000 * MS, 0, first, inOtherZone));
        assertEquals(
                "outside_group",
                SendAudit.retryViolation(product(Repeat.DEDUPLICATED, Scope.CELL), 4_000 * MS, 0, first, inOtherCell));
        assertEquals("repeat_window_over", SendAudit.retryViolation(deduplicated, 5_200 * MS, 0, first, inOtherCell));
        assertNull(
                SendAudit.retryViolation(product(Repeat.DEDUPLICATED, Scope.ALL), 4_000 * MS, 0, first, inOtherZone));
    }
}
