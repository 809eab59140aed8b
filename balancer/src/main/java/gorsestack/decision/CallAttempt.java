package gorsestack.decision;

/** One attempt of a call at one upstream. Belongs to a {@link CallState}; used on the policy's thread only. */
final class CallAttempt {
    final UpstreamState upstream;
    /** Time in nanoseconds from which the attempt is timed: its start, or the completion of a request body that was still arriving then. */
    long timedFrom;

    boolean inFlight = true;
    /** Whether the outcome proves that the upstream never began the work. */
    boolean neverExecuted;

    CallAttempt(UpstreamState upstream, long timedFrom) {
        this.upstream = upstream;
        this.timedFrom = timedFrom;
    }
}
