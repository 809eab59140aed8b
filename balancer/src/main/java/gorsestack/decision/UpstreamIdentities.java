package gorsestack.decision;

/**
 * Receives the signs by which an upstream's process is recognized, for {@link RepeatSafety}. The adapter reports them; one without
 * connections reports none, and then the endpoint list alone counts. Part of {@link BalancingPolicy} and used on its thread. Times are in
 * nanoseconds of the clock of the policy.
 */
public final class UpstreamIdentities {
    /**
     * Number of watch deadlines after which the list would no longer name an upstream that has ended: one for discovery to notice the end
     * and one to deliver the change.
     */
    private static final int SETTLING_WATCH_DEADLINES = 2;

    private final UpstreamTable upstreams;
    private final long settlingTime;

    UpstreamIdentities(UpstreamTable upstreams, Settings.Rules rules) {
        this.upstreams = upstreams;
        settlingTime = SETTLING_WATCH_DEADLINES * rules.watchDeadline();
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

    /** Handles that a request or a connect that began at {@code since} is given up and nothing has arrived on its connection. */
    public void onSilence(String upstream, long since, long now) {
        UpstreamState state = upstreams.find(upstream);
        if (state != null) {
            state.identity.onSilence(since, now);
        }
    }

    /** Handles that discovery has confirmed the list in use at a time; 0 if it never has. */
    public void onListConfirmed(long confirmedAt) {
        for (UpstreamState upstream : upstreams.slots()) {
            upstream.identity.onListConfirmed(confirmedAt, settlingTime);
        }
    }
}
