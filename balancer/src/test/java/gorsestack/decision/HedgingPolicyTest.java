package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests when a further attempt of a call starts. */
class HedgingPolicyTest {
    private static final Settings.Limits LIMITS = new Settings.Limits(4, true, false, true, 500 * MS, false);

    private static CallState planned(Repeat repeat, long deadline) {
        CallState call = new CallState("c", 1, PolicySimulation.product("p", repeat, Scope.ALL));
        call.deadline = deadline;
        new HedgingPolicy(LIMITS).plan(call, 0);
        return call;
    }

    @Test
    void plansTwoAttemptsUnlessRepeatCouldDoHarm() {
        assertEquals(2, planned(Repeat.IDEMPOTENT, 1000 * MS).attemptLimit);
        assertEquals(1, planned(Repeat.NON_IDEMPOTENT, 1000 * MS).attemptLimit);
        assertEquals(240 * MS, planned(Repeat.IDEMPOTENT, 1000 * MS).hedgingDelay, "0.6 of the objective");
        assertEquals(100 * MS, planned(Repeat.IDEMPOTENT, 200 * MS).hedgingDelay, "half of the remaining time");
    }

    @Test
    void allowsThirdAttemptOnlyWhenNoneIsInFlight() {
        HedgingPolicy hedging = new HedgingPolicy(LIMITS);
        CallState call = planned(Repeat.IDEMPOTENT, 1000 * MS);
        hedging.scheduleNext(call, 0);
        call.addAttempt(new CallAttempt(new UpstreamState(0), 0));
        assertFalse(hedging.isAttemptDue(call, 239 * MS));
        assertTrue(hedging.isAttemptDue(call, 240 * MS));
        assertTrue(hedging.isHedgeForbidden(call), "the settings forbid hedged requests");
        call.addAttempt(new CallAttempt(new UpstreamState(1), 0));
        assertFalse(hedging.mayAttemptAgain(call, 0));
        call.attemptsInFlight = 0;
        assertTrue(hedging.mayAttemptAgain(call, 0));
        call.notReplayable = true;
        assertFalse(hedging.mayAttemptAgain(call, 0));
    }

    /** The second attempt starts after the lesser of half the remaining time and 0.6 of the SLO; the first success cancels the other. */
    @Test
    void startsSecondAttemptAfterHedgingDelayAndCancelsSlowerOne() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 4, false, Scope.ALL), 1);
        for (int i = 0; i < 40; i++) {
            simulation.call("paid" + i, "read", 1000 * MS);
            simulation.end("paid" + i, 0, Outcome.FULFILLED);
        }
        simulation.call("c", "read", 1000 * MS);
        simulation.runTo(simulation.now + 235 * MS);
        assertEquals(1, simulation.calls.get("c").attempts.size());
        simulation.runTo(simulation.now + 10 * MS);
        assertEquals(2, simulation.calls.get("c").attempts.size());
        simulation.end("c", 1, Outcome.FULFILLED);
        assertEquals("fulfilled", simulation.calls.get("c").response);
        assertTrue(simulation.calls.get("c").attempts.get(0).cancelled);
        simulation.settle();
    }

    /** Guards against calls that fail within milliseconds, deduplicated ones after one attempt, on resets and malformed responses. */
    @Test
    void retriesAtOnceWhenNoAttemptIsInFlight() {
        PolicySimulation simulation = new PolicySimulation(PolicySimulation.settings(1, 0, 4, false, Scope.ZONE), 1);
        simulation.updateEndpoints(
                Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "a"), entry("u1", EndpointState.READY, 0, 1, "b"));
        for (int i = 0; i < 400; i++) {
            simulation.call("w" + i, "once", 1000 * MS);
            simulation.end("w" + i, 0, Outcome.FULFILLED);
        }
        for (String product : List.of("mark", "read")) {
            simulation.call(product, product, 1000 * MS);
            PolicySimulation.ApiCall call = simulation.calls.get(product);
            simulation.end(product, 0, Outcome.BROKEN);
            assertEquals(2, call.attempts.size(), "attempts right after the reset");
            simulation.end(product, 1, Outcome.MALFORMED_RESPONSE);
            assertEquals(3, call.attempts.size());
            simulation.end(product, 2, Outcome.FULFILLED);
            assertEquals("fulfilled", call.response);
        }
        simulation.settle();
    }

    /**
     * Guards against an upload that counts as an unresponsive upstream, a repeat of a body that was not buffered, and a timeout that starts
     * at the first byte of the body.
     */
    @Test
    void givesUnbufferedBodyOneAttemptAndStartsItsTimeoutAtLastByte() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 2, false, Scope.ALL), 1);
        simulation.call("lost", "read", Long.MAX_VALUE);
        simulation.end("lost", 0, Outcome.UNREACHABLE);
        assertEquals(2, simulation.calls.get("lost").attempts.size(), "the body is still buffered");
        simulation.calls.get("lost").notReplayable = true;
        simulation.policy.onRequestBody(simulation.now, "lost", -1);
        simulation.end("lost", 1, Outcome.UNREACHABLE);
        assertEquals("rate-limited", simulation.calls.get("lost").response);
        simulation.call("slow", "read", Long.MAX_VALUE);
        String waitingUpstream = simulation.calls.get("slow").attempts.get(0).upstream;
        simulation.runTo(simulation.now + 5_000 * MS);
        int callsToWaitingUpstream = 0;
        for (int i = 0; i < 60; i++) {
            simulation.call("c" + i, "once", 1000 * MS);
            callsToWaitingUpstream +=
                    simulation.calls.get("c" + i).attempts.get(0).upstream.equals(waitingUpstream) ? 1 : 0;
            simulation.fulfilLater("c" + i, 20 * MS);
            simulation.runTo(simulation.now + 30 * MS);
        }
        assertTrue(callsToWaitingUpstream > 5, callsToWaitingUpstream + " calls to the upstream that waits for a body");
        assertEquals(null, simulation.calls.get("slow").response);
        simulation.completeRequestBody("slow", 1000 * MS);
        simulation.runTo(simulation.now + 900 * MS);
        assertEquals(null, simulation.calls.get("slow").response);
        simulation.settle();
        assertEquals(1, simulation.calls.get("slow").attempts.size());
    }

    /** Guards against late responses without value that delay the calls behind them: such a call ends at its SLO. */
    @Test
    void endsNonIdempotentCallAtItsSloWhenLateResponseHasNoValue() {
        Settings base = PolicySimulation.settings(1, 0, 1, false, Scope.ALL);
        List<Settings.Product> withoutLateValue = base.products().stream()
                .map(p -> new Settings.Product(
                        p.name(),
                        p.repeat(),
                        p.scope(),
                        p.repeatWindow(),
                        p.slo(),
                        p.clientTimeout(),
                        p.billedValue(),
                        0))
                .toList();
        PolicySimulation simulation = withSixUpstreams(
                new Settings(
                        0,
                        1,
                        0,
                        "a",
                        base.zones(),
                        withoutLateValue,
                        base.limits(),
                        base.rules(),
                        false,
                        false,
                        base.reports(),
                        true,
                        0,
                        MS),
                1);
        simulation.call("once", "once", 1000 * MS);
        simulation.call("mark", "mark", 1000 * MS);
        simulation.runTo(simulation.now + 450 * MS);
        assertEquals("errored", simulation.calls.get("once").response);
        assertEquals(400, (simulation.calls.get("once").respondedAt - simulation.calls.get("once").startedAt) / MS);
        assertEquals(null, simulation.calls.get("mark").response);
    }
}
