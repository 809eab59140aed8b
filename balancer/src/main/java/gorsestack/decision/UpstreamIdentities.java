package gorsestack.decision;

/**
 * Receives the signs by which an upstream's process is recognized, for {@link RepeatSafety}. The adapter reports them; one without
 * connections reports none, and then the endpoint list alone counts. Part of {@link BalancingPolicy} and used on its thread. Times are in
 * nanoseconds of the clock of the policy.
 */
public final class UpstreamIdentities {
    private final UpstreamTable upstreams;
    /** The time after which a list that discovery confirms no longer names an upstream that has ended, in nanoseconds. */
    private final long settlingTime;

    UpstreamIdentities(UpstreamTable upstreams, Settings.Rules rules) {
        this.upstreams = upstreams;
        settlingTime = rules.watchDeadline();
    }

    /** Handles bytes from an upstream on a connection that was established at {@code connectedAt}. */
    public void onBytes(String upstream, long connectedAt, long now) {
        UpstreamState state = upstreams.find(upstream);
        if (state != null) {
            state.identity.onBytes(connectedAt, now);
        }
    }

    /** Handles that the upstream has ended a connection, or has refused one. */
    public void onContactLost(String upstream, long now) {
        UpstreamState state = upstreams.find(upstream);
        if (state != null) {
            state.identity.onContactLost(now);
        }
    }

    /** Handles that discovery has confirmed the list in use at a time; 0 if it never has. */
    public void onListConfirmed(long confirmedAt) {
        for (UpstreamState upstream : upstreams.slots()) {
            upstream.identity.onListConfirmed(confirmedAt, settlingTime);
        }
    }
}
