package gorsestack.decision;

/** How one attempt, or one probe, ended. */
public enum Outcome {
    FULFILLED(false),
    /** The upstream answered with an error. */
    ERROR(false),
    /** Turned away unseen. */
    FULL(true),
    TIMED_OUT(false),
    /** No connection. */
    UNREACHABLE(true),
    /** The connection dropped while the attempt was out. */
    BROKEN(false),
    /** An answer that cannot be read, or that finds fault with the call: it may have run, and the upstream be well. */
    SPOILT(false),
    CANCELLED(false),
    /** Never left this balancer. */
    NOT_SENT(true),
    /** A word this build does not know: taken as one that may have run. */
    UNKNOWN(false);

    /** True where the upstream is known not to have begun the work. */
    public final boolean provesItNeverRan;

    Outcome(boolean provesItNeverRan) {
        this.provesItNeverRan = provesItNeverRan;
    }
}
