package gorsestack.proxy;

import gorsestack.invariant.Invariants;
import gorsestack.invariant.Rule;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Response;

/** Sends each call its one final response. Used by {@link CallDispatcher} and {@link CallDeadlines}. Owned by the event loop's thread. */
final class CallResponder {
    private final EventLoop eventLoop;
    private final InputClock clock;
    private final CallTable calls;
    private final RecoveryCoordinator recovery;
    private final Invariants invariants;
    private final AttemptAuditor auditor;
    private final CallTrace trace;

    CallResponder(
            EventLoop eventLoop,
            InputClock clock,
            CallTable calls,
            RecoveryCoordinator recovery,
            Invariants invariants,
            AttemptAuditor auditor,
            CallTrace trace) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.calls = calls;
        this.recovery = recovery;
        this.invariants = invariants;
        this.auditor = auditor;
        this.trace = trace;
    }

    /** Responds with the upstream's response to a fulfilled attempt. */
    void fulfilled(ActiveCall call, int attempt) {
        respond(call, call.attempts.get(attempt).response());
    }

    /** Rejects the call with the promise that a retry is harmless; a {@code retryAfter} of 0 omits the Retry-After header. */
    void rateLimited(ActiveCall call, long retryAfter) {
        auditor.checkRateLimited(call);
        long retryAfterMillis = retryAfter / 1_000_000;
        String header = retryAfter > 0 ? "Retry-After: " + retryAfterMillis / 1e3 + "\r\n" : "";
        respond(call, Response.own(429, header, "no room; trying again is harmless"));
    }

    /** Fails the call without any promise about a retry: with 504 if an attempt has run out of time, or else with 502. */
    void errored(ActiveCall call) {
        boolean timedOut = call.attempts.stream().anyMatch(attempt -> clock.inputTime() >= attempt.deadline());
        respond(call, timedOut ? timeout() : Response.own(502, "", "no upstream answered"));
    }

    /** Fails the call with 504, as no time remains for another response. */
    void timedOut(ActiveCall call) {
        respond(call, timeout());
    }

    private static Response timeout() {
        return Response.own(504, "", "no answer in time");
    }

    private void respond(ActiveCall call, Response response) {
        if (call.hasEnded()) {
            if (!call.clientDisconnected()) {
                invariants.violated(Rule.ANSWER, call.id, "second_answer");
            }
            return;
        }
        call.end(eventLoop);
        recovery.onResponse(response.status() == 200);
        trace.log("call={0} event=response status={1}", call.id, response.status());
        calls.removeClient(call.client);
        call.client.respond(response);
        calls.removeIfFinished(call);
    }
}
