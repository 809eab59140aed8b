package gorsestack.wire;

import gorsestack.decision.Outcome;

/**
 * Derives the outcome of an attempt from its response or from the loss of its connection, above all whether the request can have been
 * processed (rule 2). Stateless; used by {@link UpstreamConnection}.
 */
final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /**
     * Returns the outcome that a response proves. Only a response that states that the request was not processed proves that it has not
     * run.
     */
    static Outcome ofResponse(MessageHead head) {
        return switch (head.start[1]) {
            case "200" -> Outcome.FULFILLED;
            case "503", "504" -> "1".equals(head.field("x-unprocessed")) ? Outcome.REJECTED : Outcome.ERROR;
            // A 4xx response is caused by the call. Treated as an error of the upstream, it would make every upstream
            // look unhealthy as soon as clients send bad calls.
            default -> head.start[1].startsWith("4") ? Outcome.MALFORMED_RESPONSE : Outcome.ERROR;
        };
    }

    /** Returns the outcome of an attempt whose connection was lost. A request whose last byte was not sent cannot have begun to run. */
    static Outcome ofLostConnection(RequestProgress request) {
        if (request.written()) {
            return Outcome.BROKEN;
        }
        return request.denied() ? Outcome.NOT_SENT : Outcome.UNREACHABLE;
    }

    /** Ends an attempt that has a response, after reporting the load that came with the response. */
    static void report(AttemptListener attempt, MessageHead head, Outcome outcome, Response response) {
        String loadReport = head.field(LoadReport.NAME);
        if (loadReport != null) {
            attempt.reported(loadReport);
        }
        attempt.ended(outcome, response);
    }
}
