package gorsestack.server;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.admin.Handover;
import gorsestack.decision.LearnedLocality;
import gorsestack.decision.Settings;
import gorsestack.proxy.CallDispatcher;
import gorsestack.proxy.PeerChannel;
import gorsestack.recovery.PeerRecovery;
import gorsestack.recovery.PersistentState;
import gorsestack.settings.Limits;
import gorsestack.wire.EventLoop;
import gorsestack.wire.PeerSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Exchanges datagrams with other balancers: load reports of the balancing policy and the messages of {@link PeerRecovery}, whose effects
 * it applies. {@link BalancerServer} creates it only if peers are configured.
 *
 * <p>Threads: constructed on the main thread, used on the event loop's thread.
 */
final class PeerExchange implements PeerChannel, PeerRecovery.Actions, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("gorsestack.neighbours");

    private final EventLoop eventLoop;
    private final CallDispatcher calls;
    private final Limits limits;
    private final Handover handover;
    private final boolean ordersMayBeLost;
    private final LongConsumer onIncarnationRaised;
    private final PeerSocket socket;
    private PeerRecovery recovery;

    /**
     * @param addresses the addresses of all balancers, ordered by instance index
     * @param handover the store of maintenance orders; null if no orders can be given
     * @param ordersMayBeLost whether some maintenance orders may be missing from this host's persisted state
     * @param onIncarnationRaised receives the new incarnation of this process
     */
    PeerExchange(
            List<InetSocketAddress> addresses,
            EventLoop eventLoop,
            CallDispatcher calls,
            Limits limits,
            Handover handover,
            boolean ordersMayBeLost,
            LongConsumer onIncarnationRaised,
            Settings settings)
            throws IOException {
        this.eventLoop = eventLoop;
        this.calls = calls;
        this.limits = limits;
        this.handover = handover;
        this.ordersMayBeLost = ordersMayBeLost;
        this.onIncarnationRaised = onIncarnationRaised;
        socket = new PeerSocket(addresses, settings.instanceIndex(), eventLoop, calls::onPeerMessage);
    }

    /** Starts the recovery protocol; messages received before that are dropped. */
    void startRecovery(Settings settings, long incarnation, boolean needsLearnedState, long seed) {
        recovery = new PeerRecovery(
                settings.instanceIndex(),
                settings.instances(),
                incarnation,
                eventLoop.now(),
                settings.rules().watchDeadline(),
                zonesFromOwn(settings),
                needsLearnedState,
                seed,
                new PeerRecovery.LocalState() {
                    @Override
                    public long endpointIndex() {
                        return calls.recovery().listIndex();
                    }

                    @Override
                    public List<LearnedLocality> learned() {
                        return calls.exportLearned();
                    }
                },
                this);
    }

    /** Returns the zone names in the order of the policy's localities: this balancer's zone first, then the others cyclically. */
    private static List<String> zonesFromOwn(Settings settings) {
        List<String> zones = new ArrayList<>();
        int own = Math.max(0, settings.zones().indexOf(settings.zone()));
        for (int i = 0; i < settings.zones().size(); i++) {
            zones.add(settings.zones().get((own + i) % settings.zones().size()));
        }
        return zones;
    }

    @Override
    public void sendLoadGossip(int peer, byte[] loadReport) {
        socket.send(peer, recovery.encodeLoadReport(eventLoop.now(), peer, loadReport));
    }

    @Override
    public byte[] onMessage(int peer, byte[] datagram) {
        return recovery == null ? null : recovery.receive(eventLoop.now(), peer, datagram);
    }

    @Override
    public void send(int peer, byte[] datagram) {
        socket.send(peer, datagram);
    }

    @Override
    public void scheduleCheck(long checkAt) {
        eventLoop.at(checkAt, () -> recovery.check(eventLoop.now()));
    }

    /** Replicates all maintenance orders of this balancer to its peers. */
    void replicateOrders(Map<String, PersistentState.MaintenanceOrder> orders) {
        recovery.replicate(eventLoop.now(), orders);
    }

    @Override
    public void incarnationRaised(long incarnation) {
        LOG.log(System.Logger.Level.INFO, "incarnation_raised incarnation={0}", Long.toString(incarnation));
        onIncarnationRaised.accept(incarnation);
    }

    @Override
    public void ordersRestored(Map<String, PersistentState.MaintenanceOrder> orders) {
        // Ignored if no orders were lost here: a peer may not know yet that an upstream was put back into service.
        if (handover != null && ordersMayBeLost) {
            handover.restoreOrders(orders);
        }
    }

    @Override
    public void endpointListOutdated(long peerIndex) {
        LOG.log(
                System.Logger.Level.INFO,
                "endpoint_list_outdated peer_index={0} own_index={1}",
                Long.toString(peerIndex),
                Long.toString(calls.recovery().listIndex()));
        eventLoop.at(
                eventLoop.now() + (long) (calls.jitter() * limits.discovery().reconnectJitterNanos()),
                calls.recovery()::pollNow);
    }

    @Override
    public void learnedStateRestored(List<LearnedLocality> learned) {
        LOG.log(System.Logger.Level.INFO, "learned_state_restored source=peers localities={0}", learned.size());
        calls.restoreLearned(learned);
    }

    @Override
    public void mostPeersSilent() {
        LOG.log(System.Logger.Level.WARNING, "most_peers_silent concurrency_limits=minimum");
        calls.restoreLearned(calls.exportLearned().stream()
                .map(locality -> locality.withConcurrencyLimit(0))
                .toList());
    }

    @Override
    public double recentlyStartedFraction() {
        return recovery.recentlyStartedFraction(eventLoop.now());
    }

    @Override
    public void status(ObjectNode status) {
        long now = eventLoop.now();
        ObjectNode node = status.putObject("neighbours");
        putFraction(node, "returned", recovery.recentlyStartedFraction(now));
        putFraction(node, "silent", recovery.silentFraction(now));
        PeerRecovery.DroppedMessages dropped = recovery.dropped();
        int replicatedOrders =
                recovery.replicatedFor().values().stream().mapToInt(Map::size).sum();
        node.put("droppedStale", dropped.stale())
                .put("droppedBad", dropped.malformed())
                .put("unanswered", dropped.rateLimited())
                .put("bansKeptForOthers", replicatedOrders);
    }

    private static void putFraction(ObjectNode node, String key, double fraction) {
        if (!Double.isNaN(fraction)) {
            node.put(key, Math.round(fraction * 1000) / 1e3);
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
