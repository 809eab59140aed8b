package gorsestack.decision;

/** One attempt of a call at one upstream. Belongs to a {@link CallState}; used on the policy's thread only. */
final class CallAttempt {
    final UpstreamState upstream;
    /**
     * The upstream's entry in the endpoint list when the attempt was decided on; later changes of the list do not alter it. Without zone and
     * cell if another process may have been at the upstream's address.
     */
    final Endpoint sentTo;
    /** The locality in which the attempt counts, also if its upstream is listed in another zone later. */
    final Locality locality;
    /** Time in nanoseconds from which the attempt is timed: its start, or the completion of a request body that was still arriving then. */
    long timedFrom;

    boolean inFlight = true;
    /** Whether the outcome proves that the upstream never began the work. */
    boolean neverExecuted;

    CallAttempt(UpstreamState upstream, long timedFrom) {
        this.upstream = upstream;
        sentTo = upstream.identity.isKnown() ? upstream.endpoint : upstream.endpoint.withoutPlacement();
        locality = upstream.locality;
        this.timedFrom = timedFrom;
    }
}
