package gorsestack.decision;

/** One attempt of a call at one upstream. Belongs to a {@link CallState}; used on the policy's thread only. */
final class CallAttempt {
    final UpstreamState upstream;
    /** Time in nanoseconds at which the attempt started, or the request body was complete if it was still arriving then. */
    long sentAt;

    boolean inFlight = true;
    /** Whether the outcome proves that the upstream never began the work. */
    boolean neverExecuted;

    CallAttempt(UpstreamState upstream, long sentAt) {
        this.upstream = upstream;
        this.sentAt = sentAt;
    }
}
