package gorsestack.recovery;

/**
 * State of each peer's process as far as it follows from the peer's messages. Used by {@link PeerRecovery} on its thread. Callers pass the
 * current time; this class performs no I/O.
 */
final class PeerTable {
    private static final long SECOND = 1_000_000_000L;
    /** Interval in nanoseconds at which HELLO is repeated to a peer that has not shown that it supports message headers. */
    private static final long HELLO_INTERVAL = 60 * SECOND;
    /** Time in nanoseconds for which a message with a header proves that the peer supports headers. */
    private static final long HEADER_SUPPORT_VALIDITY = 2 * HELLO_INTERVAL;
    /**
     * Time in nanoseconds since a peer's last message with a header, after which messages without one show that the peer runs an earlier
     * version again.
     */
    private static final long DOWNGRADE_DELAY = 10 * SECOND;
    /**
     * Minimum interval in nanoseconds between responses to a stale process that has not requested state. The response contains the
     * incarnation that the process has to exceed.
     */
    private static final long STALE_RESPONSE_INTERVAL = SECOND;
    /** Minimum number of seen peers from which the fraction of recently started ones is evidence, unless the fleet is smaller. */
    private static final int MIN_PEERS_FOR_FRACTION = 3;

    private final int balancerCount;
    private final long recentlyStarted;
    private final long[] highestIncarnation;
    /** Time of the last message with a header, by peer; 0 if there was none, or if a message without a header was accepted after it. */
    private final long[] lastSeenAt;

    private final long[] processStartedAt;
    /** Time of the last HELLO message or response to a stale process, by peer; 0 if there was none. */
    private final long[] lastGreetingAt;

    /**
     * Creates a table of peers from which nothing has been received.
     *
     * @param recentlyStarted uptime in nanoseconds below which a process counts as recently started
     */
    PeerTable(int balancerCount, long recentlyStarted) {
        this.balancerCount = balancerCount;
        this.recentlyStarted = recentlyStarted;
        highestIncarnation = new long[balancerCount];
        lastSeenAt = new long[balancerCount];
        processStartedAt = new long[balancerCount];
        lastGreetingAt = new long[balancerCount];
    }

    /** Returns the highest incarnation seen of a peer; 0 if none was seen. */
    long highestIncarnation(int peer) {
        return highestIncarnation[peer];
    }

    /** Returns whether a message comes from a process that has been replaced by one with a higher incarnation. */
    boolean isStale(int peer, PeerMessage message) {
        return message.incarnation() < highestIncarnation[peer];
    }

    /**
     * Returns whether a response may be sent to a stale process now. If so, the response counts as sent.
     *
     * @param requested whether the process has sent a state request; the response is then not limited by the interval
     */
    boolean takeStaleResponsePermit(long now, int peer, boolean requested) {
        if (requested || now - lastGreetingAt[peer] > STALE_RESPONSE_INTERVAL) {
            lastGreetingAt[peer] = now;
            return true;
        }
        return false;
    }

    /** Records a message with a header that is not stale. */
    void record(long now, int peer, PeerMessage message) {
        highestIncarnation[peer] = message.incarnation();
        lastSeenAt[peer] = now;
        processStartedAt[peer] = Math.max(processStartedAt[peer], now - message.uptime());
    }

    /** Returns whether a peer is known to support message headers. */
    boolean supportsHeader(long now, int peer) {
        return lastSeenAt[peer] > 0 && now - lastSeenAt[peer] < HEADER_SUPPORT_VALIDITY;
    }

    /**
     * Returns whether a message without a header is accepted. If the peer has sent headers until recently, such a message was sent by an
     * earlier process of the peer and delayed in the network.
     */
    boolean acceptsHeaderless(long now, int peer) {
        if (lastSeenAt[peer] > 0 && now - lastSeenAt[peer] < DOWNGRADE_DELAY) {
            return false;
        }
        lastSeenAt[peer] = 0;
        return true;
    }

    /** Returns whether HELLO may be sent now to a peer that sends no headers. If so, it counts as sent. */
    boolean takeHelloPermit(long now, int peer) {
        if (lastGreetingAt[peer] == 0 || now - lastGreetingAt[peer] > HELLO_INTERVAL) {
            lastGreetingAt[peer] = now;
            return true;
        }
        return false;
    }

    /** Returns the fraction of recently seen peers that had started recently; NaN if too few peers were seen. */
    double recentlyStartedFraction(long now) {
        int seenPeers = 0;
        int restartedPeers = 0;
        for (int peer = 0; peer < balancerCount; peer++) {
            if (lastSeenAt[peer] > 0 && now - lastSeenAt[peer] < recentlyStarted) {
                seenPeers++;
                restartedPeers += now - processStartedAt[peer] < recentlyStarted ? 1 : 0;
            }
        }
        boolean tooFew = seenPeers == 0 || (seenPeers < MIN_PEERS_FOR_FRACTION && seenPeers < balancerCount - 1);
        return tooFew ? Double.NaN : restartedPeers / (double) seenPeers;
    }
}
