package gorsestack.proxy;

import gorsestack.decision.BalancingPolicy;
import gorsestack.wire.DiscoveryWatch;
import gorsestack.wire.EventLoop;
import gorsestack.wire.UpstreamConnection;

/**
 * Reports to the balancing policy what connections tell about the processes of upstreams, and withdraws requests that wait for a connection
 * to an upstream with which contact was lost: another process may accept it. Used by {@link UpstreamConnectionPool} and
 * {@link CallDispatcher}. Owned by the event loop's thread.
 */
final class UpstreamContacts {
    private final EventLoop eventLoop;
    private final BalancingPolicy policy;
    private final AttemptRunner attempts;

    UpstreamContacts(EventLoop eventLoop, BalancingPolicy policy, AttemptRunner attempts) {
        this.eventLoop = eventLoop;
        this.policy = policy;
        this.attempts = attempts;
    }

    /** Handles bytes that were read from a connection at {@code readAt}. */
    void bytesReceived(UpstreamConnection connection, long readAt) {
        policy.identities().onBytes(connection.upstream, connection.connectedAt, readAt);
    }

    /** Handles that the upstream has ended or refused a connection. */
    void lost(UpstreamConnection connection) {
        policy.identities().onContactLost(connection.upstream, eventLoop.now());
        attempts.withdrawConnecting(connection.upstream);
    }

    /** Handles that discovery has confirmed the list, as of the last line of its watch. */
    void listConfirmed(DiscoveryWatch discovery) {
        policy.identities().onListConfirmed(discovery.confirmedAt());
    }
}
