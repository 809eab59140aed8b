package gorsestack.proxy;

import gorsestack.admin.Handover;
import gorsestack.decision.BalancingPolicy;
import gorsestack.settings.Limits;

/**
 * Applies the maintenance of upstreams that operators order, adjusts this process's quota of connections and capacity while another process
 * of this balancer runs, and moves its clients there after a takeover. Used by {@link CallDispatcher}. Owned by the event loop's thread.
 */
final class MaintenanceControl {
    /** The quota of a process while another process of this balancer accepts clients. */
    private static final double SHARED_QUOTA = 0.5;
    /** The quota of a process that has been replaced, for the clients that are still connected to it. */
    private static final double REPLACED_QUOTA = 0.25;

    private final Limits limits;
    private final InputClock clock;
    private final BalancingPolicy policy;
    private final UpstreamConnectionPool pool;
    private final ClientConnectionManager clients;

    MaintenanceControl(
            Limits limits,
            InputClock clock,
            BalancingPolicy policy,
            UpstreamConnectionPool pool,
            ClientConnectionManager clients) {
        this.limits = limits;
        this.clock = clock;
        this.policy = policy;
        this.pool = pool;
        this.clients = clients;
    }

    /** Puts an upstream into maintenance if {@code endedAt} is {@link Handover#NOT_ENDED}, or back into service as of {@code endedAt}. */
    void setMaintenance(String upstream, long endedAt) {
        policy.setMaintenance(clock.tick(), upstream, endedAt);
        pool.setMaintenance(upstream, endedAt == Handover.NOT_ENDED);
    }

    /**
     * Adjusts the quota of this process. While another process of this balancer runs, this one gets half of the connections; while the
     * other accepts clients, this one also gets half of the concurrency limits and retry budgets, unless its shutdown has begun.
     */
    void shareWithAnotherProcess(boolean running, boolean acceptsClients, boolean shuttingDown) {
        if (!shuttingDown) {
            policy.setQuota(clock.tick(), acceptsClients ? SHARED_QUOTA : 1);
        }
        int processes = running ? 2 : 1;
        pool.limitConnections(limits.upstream().maxConnections() / processes);
        clients.limitConnections(limits.client().maxConnections() / processes);
    }

    /** Reduces this process's quota and moves its clients, as another process of this balancer has taken over. */
    void replaced() {
        policy.setQuota(clock.tick(), REPLACED_QUOTA);
        clients.closeForOtherProcess();
    }
}
