package gorsestack.recovery;

import gorsestack.decision.LearnedLocality;
import gorsestack.decision.SeededRandom;
import gorsestack.recovery.PeerMessage.Kind;
import gorsestack.recovery.PeerMessage.StateResponse;
import gorsestack.recovery.PersistentState.MaintenanceOrder;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Protocol by which a balancer restores state from its peers after a restart. A process that has just started requests from a few peers the
 * highest incarnation they have seen of it, the index of their endpoint list, their learned state, and its own maintenance orders, which
 * peers replicate. Every message with a header carries the incarnation of the sender, so that messages of replaced processes are detected.
 *
 * <p>Used by the server package on the event loop's thread. Callers pass the current time. This class performs no I/O: it sends messages
 * and schedules timers through {@link Actions}, and no method waits for a response.
 */
public final class PeerRecovery {
    /** Effects of the protocol, which the owner carries out. Called on the thread that calls {@link PeerRecovery}. */
    public interface Actions {
        /** Sends a datagram to the peer with the given index. The datagram may be lost. */
        void send(int peer, byte[] message);

        /** Schedules a call of {@link PeerRecovery#check} at the given time. */
        void scheduleCheck(long checkTime);

        /** Called when a peer has seen a higher incarnation than this process had. This process uses the given one from now on. */
        void incarnationRaised(long incarnation);

        /** Called for each datagram with maintenance orders that a requested peer has stored for this balancer. */
        void ordersRestored(Map<String, MaintenanceOrder> orders);

        /** Called when a peer has a later endpoint list than this process and than the peers that responded before. */
        void endpointListOutdated(long peerIndex);

        /**
         * Called after the last round with the merged learned state of peers in the same zone, if this process has none of its own and most
         * requested peers responded.
         */
        void learnedStateRestored(List<LearnedLocality> learned);

        /**
         * Called after the last round if most of the requested peers are silent. Restored learned state was then learned in a larger fleet.
         */
        void mostPeersSilent();
    }

    /** State of this process that peers may request. */
    public interface LocalState {
        /** Returns the index of the endpoint list in use. */
        long endpointIndex();

        /** Returns the learned state of this process by locality, its own zone first. */
        List<LearnedLocality> learned();
    }

    /**
     * Counts of dropped messages.
     *
     * @param stale messages from processes that have been replaced
     * @param malformed messages that could not be decoded or were not expected
     * @param rateLimited messages that got no response because of the rate limit
     */
    public record DroppedMessages(long stale, long malformed, long rateLimited) {}

    private static final long SECOND = 1_000_000_000L;
    /**
     * Maximum number of responses within a second; further requests get no response. Prevents many processes that restart together from
     * slowing down a peer.
     */
    private static final int RESPONSES_PER_SECOND = 10;
    /** Fraction of silent peers above which most of the fleet counts as down. */
    private static final double MAX_SILENT_FRACTION = 0.5;

    private final long startedAt;
    private final long recentlyStarted;
    private final SeededRandom random;
    private final LocalState localState;
    private final Actions actions;
    private final PeerTable peers;
    private final StateRequests requests;
    private final PeerLearnedState peerLearnedState;
    private final OrderReplication replication;
    private long incarnation;
    private boolean needsLearnedState;
    private long highestPeerIndex;
    private long responseWindowStart;
    private int responsesInWindow;
    private long stale;
    private long malformed;
    private long rateLimited;

    /**
     * Starts the protocol for a process that has just started.
     *
     * @param self index of this balancer
     * @param balancerCount number of balancers in the fleet
     * @param recentlyStarted uptime in nanoseconds below which a process counts as recently started
     * @param zones zone names in the order of the localities of learned state, this balancer's zone first
     * @param needsLearnedState whether this process has no learned state of its own
     * @param seed seed for the choice of peers and for jitter
     */
    public PeerRecovery(
            int self,
            int balancerCount,
            long incarnation,
            long now,
            long recentlyStarted,
            List<String> zones,
            boolean needsLearnedState,
            long seed,
            LocalState localState,
            Actions actions) {
        this.incarnation = incarnation;
        this.recentlyStarted = recentlyStarted;
        this.needsLearnedState = needsLearnedState;
        this.localState = localState;
        this.actions = actions;
        startedAt = now;
        random = new SeededRandom(seed);
        peers = new PeerTable(balancerCount, recentlyStarted);
        requests = new StateRequests(self, balancerCount, now, random);
        peerLearnedState = new PeerLearnedState(zones);
        replication = new OrderReplication(self, balancerCount);
        if (requests.nextRoundAt() < Long.MAX_VALUE) {
            actions.scheduleCheck(requests.nextRoundAt());
        }
    }

    /** Returns the incarnation that this process uses now. */
    public long incarnation() {
        return incarnation;
    }

    private long uptime(long now) {
        return now - startedAt;
    }

    /**
     * Returns a load report as it is sent to a peer: with a header if the peer is known to support it and the report fits behind it, else
     * unchanged.
     */
    public byte[] encodeLoadReport(long now, int peer, byte[] report) {
        if (!peers.supportsHeader(now, peer)) {
            return report;
        }
        return PeerMessageCodec.loadReport(incarnation, uptime(now), report).orElse(report);
    }

    /**
     * Handles a peer's datagram.
     *
     * @return the load report that the datagram carries; null if it carries none, or is malformed or stale
     */
    public byte[] receive(long now, int sender, byte[] datagram) {
        if (datagram.length > 0 && datagram[0] != PeerMessageCodec.VERSION) {
            return receiveHeaderless(now, sender, datagram);
        }
        Optional<PeerMessage> decoded = PeerMessageCodec.decode(datagram);
        if (decoded.isEmpty()) {
            malformed++;
            return null;
        }
        PeerMessage message = decoded.get();
        if (peers.isStale(sender, message)) {
            stale++;
            // After its clock was set back, a peer's current process may have a lower incarnation than the previous
            // one. The response contains the incarnation that it has to exceed.
            if (peers.takeStaleResponsePermit(now, sender, message.kind() == Kind.STATE_REQUEST)) {
                respond(now, sender);
            }
            return null;
        }
        peers.record(now, sender, message);
        if (message.kind() == Kind.LOAD_REPORT) {
            return PeerMessageCodec.loadReport(message);
        }
        handle(now, sender, message);
        return null;
    }

    private byte[] receiveHeaderless(long now, int sender, byte[] report) {
        if (!peers.acceptsHeaderless(now, sender)) {
            stale++;
            return null;
        }
        if (peers.takeHelloPermit(now, sender)) {
            actions.send(sender, PeerMessageCodec.hello(incarnation, uptime(now)));
        }
        return report;
    }

    private void handle(long now, int sender, PeerMessage message) {
        switch (message.kind()) {
            case STATE_REQUEST -> respond(now, sender);
            case STATE_RESPONSE ->
                PeerMessageCodec.stateResponse(message)
                        .ifPresentOrElse(response -> onStateResponse(sender, response), this::countMalformed);
            case REPLICATE_ORDERS -> {
                Optional<Map<String, MaintenanceOrder>> orders = PeerMessageCodec.orders(message, now);
                if (orders.isEmpty() || !replication.store(sender, orders.get())) {
                    countMalformed();
                }
            }
            case REPLICATED_ORDERS -> {
                Optional<Map<String, MaintenanceOrder>> orders =
                        requests.wasRequested(sender) ? PeerMessageCodec.orders(message, now) : Optional.empty();
                orders.ifPresentOrElse(actions::ordersRestored, this::countMalformed);
            }
            default -> {} // A HELLO message consists of its header alone.
        }
    }

    private void countMalformed() {
        malformed++;
    }

    private void respond(long now, int recipient) {
        if (now - responseWindowStart >= SECOND) {
            responseWindowStart = now;
            responsesInWindow = 0;
        }
        if (++responsesInWindow > RESPONSES_PER_SECOND) {
            rateLimited++;
            return;
        }
        long uptime = uptime(now);
        List<LearnedLocality> learned = uptime < recentlyStarted ? List.of() : localState.learned();
        StateResponse response = new StateResponse(
                peers.highestIncarnation(recipient),
                localState.endpointIndex(),
                peerLearnedState.withZoneHashes(learned));
        actions.send(recipient, PeerMessageCodec.stateResponse(incarnation, uptime, response));
        PeerMessageCodec.orders(Kind.REPLICATED_ORDERS, incarnation, uptime, replication.storedFor(recipient), now)
                .forEach(datagram -> actions.send(recipient, datagram));
    }

    private void onStateResponse(int sender, StateResponse response) {
        if (response.rememberedIncarnation() > incarnation) {
            incarnation = response.rememberedIncarnation() + 1;
            actions.incarnationRaised(incarnation);
        }
        if (!requests.recordResponse(sender)) {
            return;
        }
        if (response.endpointIndex() > Math.max(highestPeerIndex, localState.endpointIndex())) {
            highestPeerIndex = response.endpointIndex();
            actions.endpointListOutdated(response.endpointIndex());
        }
        peerLearnedState.add(response.learned());
    }

    /** Returns the fraction of requested peers that have not responded; NaN before the first round is over. */
    public double silentFraction(long now) {
        return requests.silentFraction(now);
    }

    /** Returns the fraction of recently seen peers that had started recently; NaN if too few peers were seen. */
    public double recentlyStartedFraction(long now) {
        return peers.recentlyStartedFraction(now);
    }

    /** Replicates all maintenance orders of this balancer from now on; they replace the orders of the previous call. */
    public void replicate(long now, Map<String, MaintenanceOrder> orders) {
        replication.setOwnOrders(now, orders);
        sendOwnOrders(now);
        actions.scheduleCheck(replication.nextSendAt());
    }

    private void sendOwnOrders(long now) {
        List<byte[]> datagrams =
                PeerMessageCodec.orders(Kind.REPLICATE_ORDERS, incarnation, uptime(now), replication.ownOrders(), now);
        for (byte[] datagram : datagrams) {
            replication.replicas().forEach(peer -> actions.send(peer, datagram));
        }
    }

    /** Sends the repeats and requests that are due at the given time, and ends the requests after the last round. */
    public void check(long now) {
        if (now >= replication.nextSendAt()) {
            sendOwnOrders(now);
            replication.scheduleRepeat(now, random);
            if (replication.nextSendAt() < Long.MAX_VALUE) {
                actions.scheduleCheck(replication.nextSendAt());
            }
        }
        if (now < requests.nextRoundAt()) {
            return;
        }
        if (requests.isComplete()) {
            finishRequests(now);
        } else {
            startRequestRound(now);
        }
    }

    private void startRequestRound(long now) {
        for (int peer : requests.startRound(replication.replicas())) {
            actions.send(peer, PeerMessageCodec.stateRequest(incarnation, uptime(now)));
        }
        requests.scheduleNextRound(now);
        actions.scheduleCheck(requests.nextRoundAt());
    }

    private void finishRequests(long now) {
        double silentFraction = requests.silentFraction(now);
        requests.finish();
        if (silentFraction > MAX_SILENT_FRACTION) {
            actions.mostPeersSilent();
        } else if (needsLearnedState && !peerLearnedState.isEmpty()) {
            actions.learnedStateRestored(peerLearnedState.merged());
        }
        needsLearnedState = false;
        peerLearnedState.clear();
    }

    /** Returns how many messages have been dropped since the start, by cause. */
    public DroppedMessages dropped() {
        return new DroppedMessages(stale, malformed, rateLimited);
    }

    /** Returns the maintenance orders stored here for other balancers, by balancer. */
    public Map<Integer, Map<String, MaintenanceOrder>> replicatedFor() {
        return replication.replicatedFor();
    }
}
