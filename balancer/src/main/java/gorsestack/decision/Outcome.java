package gorsestack.decision;

import java.util.Locale;

/** How one attempt ended. The adapter reports it to {@link BalancingPolicy#onOutcome}. */
public enum Outcome {
    /** The upstream responded with success. */
    FULFILLED(false),
    /** The upstream responded with an error. */
    ERROR(false),
    /** The upstream rejected the attempt before it began the work. */
    REJECTED(true, "full"),
    /** No response came within the attempt's time. */
    TIMED_OUT(false),
    /** No connection was established. */
    UNREACHABLE(true),
    /** The connection was reset while the attempt was in flight. */
    BROKEN(false),
    /** The response cannot be parsed or blames the request; the attempt may have executed, and the upstream may be healthy. */
    MALFORMED_RESPONSE(false, "spoilt"),
    /** The balancer cancelled the attempt. */
    CANCELLED(false),
    /** The attempt never left this balancer. */
    NOT_SENT(true),
    /** An outcome that this version does not know; the attempt may have executed. */
    UNKNOWN(false);

    /** Whether the upstream is known not to have begun the work. */
    public final boolean provesNotExecuted;

    /** The key of this outcome in the status document; it does not change when a constant is renamed. */
    public final String statusKey;

    Outcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
        this.statusKey = name().toLowerCase(Locale.ROOT);
    }

    Outcome(boolean provesNotExecuted, String statusKey) {
        this.provesNotExecuted = provesNotExecuted;
        this.statusKey = statusKey;
    }
}
