package gorsestack.lab.verify;

import gorsestack.lab.verify.Records.ClientDisconnect;
import gorsestack.lab.verify.Records.ClientRequest;
import gorsestack.lab.verify.Records.ExtraResponse;
import gorsestack.lab.verify.Records.MisbehavingClientViolation;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import java.util.function.Consumer;

/**
 * Checks the rule "lost": each request gets exactly one correct response in time, and no attempt starts once the request has ended.
 * {@link Verifier} uses this class on the thread that verifies.
 */
final class ResponseRule {
    /** How long after a client disconnected a balancer may still start an attempt for it, in nanoseconds. */
    private static final long DISCONNECT_GRACE_NANOS = 100_000_000L;

    private static final long NANOS_PER_MS = 1_000_000L;

    private final IndexedRecords indexedRecords;
    private final Consumer<Violation> violations;
    private int lostCalls;

    ResponseRule(IndexedRecords indexedRecords, Consumer<Violation> violations) {
        this.indexedRecords = indexedRecords;
        this.violations = violations;
    }

    /**
     * Returns the number of cases in which a balancer owed a correct response in time and did not send it, including those of misbehaving
     * clients. A response that is both late and incorrect counts twice.
     */
    int lostCalls() {
        return lostCalls;
    }

    private void report(long violatedAt, String description) {
        violations.accept(new Violation(Violation.LOST, violatedAt, description));
    }

    private void reportLost(long violatedAt, String description) {
        lostCalls++;
        report(violatedAt, description);
    }

    /** Checks that a request got a response in time, and that an upstream produced this response for it. */
    void checkResponse(ClientRequest request) {
        boolean excused = excused(request);
        if (!excused) {
            checkTimeliness(request);
        }
        if (!excused
                && request.outcome().equals("closed")
                && !indexedRecords.attempts(request.id()).isEmpty()) {
            reportLost(
                    request.ended(),
                    "n" + request.balancer() + " took " + request.id()
                            + ", forwarded it, and closed the connection without a response");
        }
        if (request.outcome().equals("200") && !request.correct()) {
            reportLost(
                    request.ended(),
                    "n" + request.balancer() + " answered " + request.id()
                            + " with a response that no upstream produced for it");
        }
    }

    /**
     * Returns whether a missing or late response may have another cause than the balancer: the request was not sent, the process was
     * unavailable, or the link of the client had a fault.
     */
    private boolean excused(ClientRequest request) {
        return request.sent() == Records.NEVER
                || indexedRecords.processes.unavailable(
                        request.balancer(), request.intended(), request.ended(), IndexedRecords.TOLERANCE_NANOS)
                || indexedRecords.linkFaulted(
                        request.party() + ">n" + request.balancer(), request.intended(), request.ended());
    }

    private void checkTimeliness(ClientRequest request) {
        long due = request.intended() + request.timeBudget();
        if (request.outcome().equals("timeout")) {
            reportLost(request.ended(), "n" + request.balancer() + " took " + request.id() + " and sent no response");
        } else if (request.hasStatus() && request.ended() > due + IndexedRecords.TOLERANCE_NANOS) {
            reportLost(
                    request.ended(),
                    "n" + request.balancer() + " took " + request.id() + " and responded "
                            + (request.ended() - due) / NANOS_PER_MS + " ms after its deadline");
        }
    }

    /** Checks that no attempt starts for a request that already has its response. */
    void checkAttemptsAfterResponse(ClientRequest request) {
        for (UpstreamAttempt attempt : indexedRecords.attempts(request.id())) {
            if (attempt.startedAt() > request.ended() + IndexedRecords.TOLERANCE_NANOS
                    && attempt.balancer() == request.balancer()
                    && startedByChoice(attempt, request.ended())) {
                report(
                        attempt.startedAt(),
                        "n" + request.balancer() + " sent " + request.id() + " to u" + attempt.upstream() + " "
                                + (attempt.startedAt() - request.ended()) / NANOS_PER_MS + " ms after its response");
            }
        }
    }

    /** Returns whether the balancer really started an attempt after a time: neither a link fault nor SIGSTOP explains a late arrival. */
    private boolean startedByChoice(UpstreamAttempt attempt, long since) {
        return !indexedRecords.attemptLinkFaulted(attempt, since - IndexedRecords.LINK_RECOVERY_NANOS)
                && !indexedRecords.processes.stopped(attempt.balancer(), since, attempt.startedAt());
    }

    /** Reports a response that a client received in addition to the one to its request. */
    void checkExtraResponse(ExtraResponse response) {
        report(
                response.at(),
                "n" + response.balancer() + " sent more than one response on the connection of " + response.id());
    }

    /** Checks that no attempt starts for a client that has disconnected. */
    void checkAttemptsAfterDisconnect(ClientDisconnect disconnect, String party) {
        String clientLink = party + ">n" + disconnect.balancer();
        for (UpstreamAttempt attempt : indexedRecords.attempts(disconnect.id())) {
            if (attempt.balancer() == disconnect.balancer()
                    && attempt.startedAt() > disconnect.at() + DISCONNECT_GRACE_NANOS + IndexedRecords.TOLERANCE_NANOS
                    && startedByChoice(attempt, disconnect.at())
                    && !indexedRecords.linkFaulted(clientLink, disconnect.at(), attempt.startedAt())) {
                report(
                        attempt.startedAt(),
                        "n" + disconnect.balancer() + " sent " + disconnect.id() + " to u" + attempt.upstream() + " "
                                + (attempt.startedAt() - disconnect.at()) / NANOS_PER_MS
                                + " ms after its client disconnected");
            }
        }
    }

    /**
     * Reports a misbehaving client that did not get the responses, or the close, that it is owed, unless the balancer was unavailable or
     * terminating, or the link had a fault.
     */
    void checkMisbehavingClient(MisbehavingClientViolation violation) {
        int balancer = violation.balancer();
        if (!indexedRecords.processes.unavailable(
                        balancer, violation.from(), violation.until(), IndexedRecords.TOLERANCE_NANOS)
                && !indexedRecords.processes.terminating(balancer, violation.from(), violation.until())
                && !indexedRecords.linkFaulted(
                        Verifier.MISBEHAVING_CLIENTS + ">n" + balancer, violation.from(), violation.until())) {
            reportLost(violation.until(), "n" + balancer + ": " + violation.id() + " " + violation.description());
        }
    }
}
