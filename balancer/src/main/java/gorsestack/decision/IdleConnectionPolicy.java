package gorsestack.decision;

/**
 * Decides to which upstreams idle connections are closed. Without it, connections of hundreds of balancers fill an upstream's connection
 * table, which costs it a third of its capacity. Used by {@link BalancingPolicy}; stateless.
 */
final class IdleConnectionPolicy {
    /** Minimum limit of the own zone from which a balancer is one of few and keeps its connections. */
    private static final double MANY_BALANCERS_MIN_LIMIT = 1;
    /** Recent calls per upstream of a locality below which a connection is not used again within about three seconds. */
    private static final int MIN_CALLS_PER_MEMBER = 2;

    private IdleConnectionPolicy() {}

    /** Returns whether to close the idle connections to an upstream at which an attempt has ended. */
    static boolean shouldClose(UpstreamState upstream, Locality ownLocality, double recentCalls) {
        return ownLocality.concurrency.minLimit < MANY_BALANCERS_MIN_LIMIT
                && upstream.inFlight == 0
                && recentCalls < MIN_CALLS_PER_MEMBER * upstream.locality.members.length;
    }
}
