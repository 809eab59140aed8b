package gorsestack.lab.verify;

/**
 * A violation of a rule by a balancer, as found by {@link Verifier}.
 *
 * @param rule the name of the rule, one of the constants of this class
 * @param at when the violation happened, in nanoseconds from the start of the measured load
 * @param description what happened, with the balancer or upstream and the request concerned
 */
public record Violation(String rule, long at, String description) {
    /** The rule that each accepted request gets exactly one correct response in time, and that no attempt starts after it. */
    public static final String LOST = "lost";
    /** The rule that a request that must not be repeated is executed at most once. */
    public static final String DUPLICATE = "dup";
    /** The rule that no request is sent to an upstream that is out of service. */
    public static final String DRAIN = "drain";
    /** The rule that an upstream is not overloaded during its slow start. */
    public static final String OVERLOAD = "cold";
}
