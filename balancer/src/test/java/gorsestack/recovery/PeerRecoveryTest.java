package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.LearnedLocality;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against state that is lost or wrong after a restart. Runs a fleet on a simulated clock and network, which loses, duplicates and
 * delays messages; processes are killed, and clocks are set back.
 */
class PeerRecoveryTest {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long RECENTLY_STARTED = 10 * SECOND;
    private static final long START = 1_764_000_000L * SECOND;
    private static final byte[] LOAD_REPORT = {1, 7, 7, 7, 7, 7, 7};

    private record Event(long time, long sequence, Runnable task) {}

    private static final class Fleet {
        final PriorityQueue<Event> events = new PriorityQueue<>(
                (x, y) -> x.time != y.time ? Long.compare(x.time, y.time) : Long.compare(x.sequence, y.sequence));
        final SplittableRandom random;
        final Node[] nodes;
        double loss;
        double duplication;
        long maxDelay = 33 * MS;
        long now = START;
        long sequence;
        long sent;
        int[] received;

        Fleet(int count, long seed) {
            random = new SplittableRandom(seed);
            nodes = new Node[count];
            received = new int[count];
        }

        void schedule(long delay, Runnable task) {
            events.add(new Event(now + delay, sequence++, task));
        }

        void run(long until) {
            while (!events.isEmpty() && events.peek().time <= until) {
                Event next = events.poll();
                now = next.time;
                next.task.run();
            }
            now = until;
        }

        /** Starts a process of a balancer in place of the previous one, which ends. */
        Node start(int self, long incarnation, boolean needsLearnedState, long index) {
            nodes[self] = new Node(this, self, incarnation, needsLearnedState, index);
            return nodes[self];
        }

        void deliver(int sender, int recipient, byte[] message) {
            sent++;
            int times = random.nextDouble() < loss ? 0 : random.nextDouble() < duplication ? 2 : 1;
            for (int i = 0; i < times; i++) {
                schedule(1 + random.nextLong(maxDelay), () -> {
                    received[recipient]++;
                    if (nodes[recipient] != null) {
                        byte[] loadReport = nodes[recipient].recovery.receive(now, sender, message);
                        if (loadReport != null) {
                            nodes[recipient].loadReports.merge(sender, 1, Integer::sum);
                        }
                    }
                });
            }
        }
    }

    private static final class Node implements PeerRecovery.Actions, PeerRecovery.LocalState {
        final Fleet fleet;
        final int self;
        final PeerRecovery recovery;
        final Map<Integer, Integer> loadReports = new HashMap<>();
        final Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
        final List<long[]> incarnations = new ArrayList<>();
        List<LearnedLocality> restored;
        long index;
        long peerIndex;
        boolean peersSilent;

        Node(Fleet fleet, int self, long incarnation, boolean needsLearnedState, long index) {
            this.fleet = fleet;
            this.self = self;
            this.index = index;
            List<String> zones = List.of("a", "b", "c");
            int own = self % 3;
            List<String> ownZoneFirst = IntStream.range(0, 3)
                    .mapToObj(i -> zones.get((own + i) % 3))
                    .toList();
            recovery = new PeerRecovery(
                    self,
                    fleet.nodes.length,
                    incarnation,
                    fleet.now,
                    RECENTLY_STARTED,
                    ownZoneFirst,
                    needsLearnedState,
                    self * 31 + 7,
                    this,
                    this);
        }

        @Override
        public void send(int peer, byte[] message) {
            assertTrue(message.length <= 256 && peer != self);
            fleet.deliver(self, peer, message);
        }

        @Override
        public void scheduleCheck(long checkTime) {
            fleet.schedule(checkTime - fleet.now, () -> {
                if (fleet.nodes[self] == this) {
                    recovery.check(fleet.now);
                }
            });
        }

        @Override
        public void incarnationRaised(long incarnation) {
            incarnations.add(new long[] {fleet.now, incarnation});
        }

        @Override
        public void ordersRestored(Map<String, PersistentState.MaintenanceOrder> restored) {
            Map<String, PersistentState.MaintenanceOrder> all = PersistentState.merged(orders, restored);
            orders.clear();
            orders.putAll(all);
        }

        @Override
        public void endpointListOutdated(long index) {
            peerIndex = index;
        }

        @Override
        public void learnedStateRestored(List<LearnedLocality> learned) {
            restored = learned;
        }

        @Override
        public void mostPeersSilent() {
            peersSilent = true;
        }

        @Override
        public long endpointIndex() {
            return index;
        }

        @Override
        public List<LearnedLocality> learned() {
            return List.of(
                    LearnedLocality.ofRow(10 + self, 0.2, 0.1, 50),
                    LearnedLocality.ofRow(5, 0.3, 0.1, 1),
                    LearnedLocality.ofRow(6, 0.3, 0.1, 1),
                    LearnedLocality.ofRow(0, 0, 0, 0));
        }

        void sendLoadReport(int peer) {
            fleet.deliver(self, peer, recovery.encodeLoadReport(fleet.now, peer, LOAD_REPORT));
        }
    }

    /** Returns a fleet whose processes have run for a minute. */
    private static Fleet runningFleet(int count, long seed) {
        Fleet fleet = new Fleet(count, seed);
        for (int i = 0; i < count; i++) {
            fleet.start(i, fleet.now / MS, false, 40);
        }
        fleet.run(START + 60 * SECOND);
        return fleet;
    }

    @Test
    void seesNoFleetRestartWhenOnlyOneBalancerRestarts() {
        for (int seed = 1; seed <= 50; seed++) {
            Fleet fleet = runningFleet(24, seed);
            fleet.loss = 0.2;
            Node restarted = fleet.start(5, fleet.now / MS, true, 30);
            fleet.run(fleet.now + 2 * SECOND);
            assertFalse(restarted.peersSilent, "seed " + seed);
            assertTrue(restarted.recovery.silentFraction(fleet.now) <= 0.5, "seed " + seed);
            assertTrue(!(restarted.recovery.recentlyStartedFraction(fleet.now) > 0), "seed " + seed);
            assertEquals(40, restarted.peerIndex);
        }
    }

    @Test
    void restoresLearnedStateOfItsZoneWhenItHasLostItsOwn() {
        Fleet fleet = runningFleet(24, 3);
        // The replicas of balancer 0 are 6, 12 and 18, all in its zone.
        Node restarted = fleet.start(0, fleet.now / MS, true, 0);
        fleet.run(fleet.now + 2 * SECOND);
        assertEquals(3, restarted.restored.size());
        assertArrayEquals(
                new double[] {16, 0.2, 0.1, 0},
                restarted.restored.get(0).toRow(),
                1e-6,
                "the lowest concurrency limit of the peers, and no response rate");
        Node other = fleet.start(1, fleet.now / MS, false, 40);
        fleet.run(fleet.now + 2 * SECOND);
        assertNull(other.restored, "it has learned state of its own");
        assertEquals(0, other.peerIndex);
    }

    @Test
    void seesRecentlyStartedPeersWhenMostOfTheFleetRestarts() {
        for (double restartedFraction : new double[] {0.7, 1}) {
            Fleet fleet = runningFleet(24, 4);
            List<Node> restarted = new ArrayList<>();
            for (int i = 0; i < 24 * restartedFraction; i++) {
                int restartedIndex = i;
                fleet.schedule(
                        fleet.random.nextLong(500 * MS),
                        () -> restarted.add(fleet.start(restartedIndex, fleet.now / MS, true, 40)));
                fleet.nodes[i] = null;
            }
            fleet.run(fleet.now + 3 * SECOND);
            for (Node node : restarted) {
                double recentlyStarted = node.recovery.recentlyStartedFraction(fleet.now);
                assertTrue(recentlyStarted >= 0.3, node.self + ": " + recentlyStarted);
                assertFalse(node.peersSilent);
                // A process that has just started itself sends no learned state.
                assertTrue(restartedFraction < 1 || node.restored == null);
            }
            fleet.run(fleet.now + 30 * SECOND);
            assertTrue(
                    restarted.stream().noneMatch(n -> n.recovery.recentlyStartedFraction(fleet.now) > 0),
                    "no peer counts as recently started any more");
        }
    }

    @Test
    void reportsSilentPeersWhenMostOfTheFleetIsDown() {
        Fleet fleet = runningFleet(24, 5);
        for (int i = 1; i < 22; i++) {
            fleet.nodes[i] = null;
        }
        Node restarted = fleet.start(0, fleet.now / MS, true, 40);
        fleet.run(fleet.now + 3 * SECOND);
        assertTrue(restarted.peersSilent);
        assertNull(restarted.restored);
    }

    /** The disk is lost and the clock was set back by an hour, so that only peers know the previous incarnation. */
    @Test
    void raisesIncarnationAbovePreviousOneWhenDiskIsLostAndClockSetBack() {
        for (int seed = 1; seed <= 50; seed++) {
            Fleet fleet = runningFleet(24, seed);
            fleet.loss = 0.3;
            long before = fleet.nodes[5].recovery.incarnation();
            Node restarted = fleet.start(5, before - 3_600_000, true, 40);
            fleet.run(fleet.now + 2 * SECOND);
            assertTrue(restarted.recovery.incarnation() > before, "seed " + seed);
            assertEquals(1, restarted.incarnations.size());
        }
    }

    /** Messages of the previous process are delayed in the network, duplicated, and arrive after it was replaced. */
    @Test
    void ignoresDelayedMessagesOfReplacedProcess() {
        Fleet fleet = runningFleet(4, 6);
        // State requests have shown all balancers that their peers support headers.
        assertEquals(2, fleet.nodes[0].recovery.encodeLoadReport(fleet.now, 1, LOAD_REPORT)[0]);
        fleet.maxDelay = 20 * SECOND;
        for (int i = 0; i < 50; i++) {
            fleet.nodes[0].sendLoadReport(1);
        }
        fleet.nodes[0].recovery.replicate(
                fleet.now, Map.of("s1", new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, fleet.now)));
        fleet.maxDelay = 33 * MS;
        fleet.schedule(SECOND, () -> fleet.start(0, fleet.now / MS, true, 40));
        fleet.run(fleet.now + 2 * SECOND);
        int receivedBefore = fleet.nodes[1].loadReports.get(0);
        assertTrue(receivedBefore < 50);
        fleet.run(fleet.now + 20 * SECOND);
        assertEquals(receivedBefore, fleet.nodes[1].loadReports.get(0));
        assertTrue(fleet.nodes[1].recovery.dropped().stale() > 0);
        fleet.nodes[0].sendLoadReport(1);
        fleet.run(fleet.now + SECOND);
        assertEquals(receivedBefore + 1, fleet.nodes[1].loadReports.get(0));
    }

    @Test
    void restoresMaintenanceOrdersFromOneReplicaWhenDiskIsLost() {
        for (int seed = 1; seed <= 50; seed++) {
            Fleet fleet = runningFleet(24, seed);
            fleet.loss = 0.2;
            Map<String, PersistentState.MaintenanceOrder> all = new TreeMap<>();
            for (int i = 0; i < 40; i++) {
                all.put(
                        "s-" + "0123456789abcdef".repeat(3) + i,
                        new PersistentState.MaintenanceOrder(
                                i % 4 == 0 ? fleet.now - SECOND : PersistentState.NOT_ENDED, fleet.now));
            }
            fleet.nodes[5].recovery.replicate(fleet.now, all);
            fleet.run(fleet.now + 60 * SECOND);
            long replicatedUntil = fleet.now;
            fleet.loss = 0;
            // Two of the three replicas restart too; the copy of one replica is enough.
            List<Integer> replicas = OrderReplication.replicasOf(5, 24);
            fleet.start(replicas.get(0), fleet.now / MS, false, 40);
            fleet.start(replicas.get(2), fleet.now / MS, false, 40);
            Node restarted = fleet.start(5, fleet.now / MS, true, 0);
            fleet.run(fleet.now + 2 * SECOND);
            assertEquals(all.keySet(), restarted.orders.keySet(), "seed " + seed);
            all.forEach((name, order) -> {
                assertEquals(
                        order.endedAt() == PersistentState.NOT_ENDED,
                        restarted.orders.get(name).endedAt() == PersistentState.NOT_ENDED);
                assertTrue(
                        Math.abs(order.orderedAt() - restarted.orders.get(name).orderedAt()) < 200 * MS
                                && restarted.orders.get(name).orderedAt() < replicatedUntil);
            });
        }
    }

    /**
     * Without responses a restart causes at most 15 messages per balancer in 30 s. With responses it causes at most 10 more in the first
     * second, as no peer sends more than 10 responses in a second, and at most 15 more in the first minute.
     */
    @Test
    void boundsMessagesWhenAllBalancersRestart() {
        for (int count : new int[] {2, 3, 24, 1000}) {
            Fleet fleet = new Fleet(count, 8);
            for (int i = 0; i < count; i++) {
                fleet.start(i, fleet.now / MS, true, 40);
            }
            fleet.loss = 1;
            fleet.run(fleet.now + 30 * SECOND);
            assertTrue(fleet.sent <= 15L * count, count + ": " + fleet.sent);
            Fleet restartedFleet = runningFleet(count, 9);
            restartedFleet.received = new int[count];
            long sent = restartedFleet.sent;
            for (int i = 1; i < count; i++) {
                restartedFleet.start(i, restartedFleet.now / MS, true, 40);
            }
            restartedFleet.run(restartedFleet.now + SECOND);
            assertTrue(restartedFleet.sent - sent <= (15 + 10) * (long) count);
            restartedFleet.run(restartedFleet.now + 60 * SECOND);
            assertTrue(restartedFleet.sent - sent <= (15 + 15) * (long) count);
        }
    }

    /**
     * One of two balancers runs the previous version, whose messages have no header. Load reports pass in both directions, and have a
     * header once both balancers run this version.
     */
    @Test
    void exchangesHeaderlessLoadReportsWithPreviousVersion() {
        Fleet fleet = new Fleet(2, 10);
        Node current = fleet.start(0, fleet.now / MS, false, 40);
        // Balancer 1 runs the previous version: it sends messages without a header, and accepts no others.
        for (int i = 0; i < 100; i++) {
            assertArrayEquals(LOAD_REPORT, current.recovery.receive(fleet.now, 1, LOAD_REPORT));
            byte[] encoded = current.recovery.encodeLoadReport(fleet.now, 1, LOAD_REPORT);
            assertArrayEquals(LOAD_REPORT, encoded);
            fleet.run(fleet.now + SECOND);
        }
        assertTrue(fleet.sent <= 3 + 3, "at most one HELLO per minute: " + fleet.sent);
        // It is upgraded to this version, which sends headers from its first HELLO on, and then downgraded again.
        fleet.start(1, fleet.now / MS, false, 40);
        fleet.run(fleet.now + 2 * SECOND);
        assertEquals(2, current.recovery.encodeLoadReport(fleet.now, 1, LOAD_REPORT)[0]);
        fleet.nodes[1] = null;
        assertNull(
                current.recovery.receive(fleet.now, 1, LOAD_REPORT), "the message may come from the previous process");
        fleet.run(fleet.now + 11 * SECOND);
        assertArrayEquals(LOAD_REPORT, current.recovery.receive(fleet.now, 1, LOAD_REPORT));
        assertArrayEquals(LOAD_REPORT, current.recovery.encodeLoadReport(fleet.now, 1, LOAD_REPORT));
    }

    /** Random bytes, and each valid message truncated at each byte or with one bit changed. */
    @Test
    void dropsAndCountsMalformedDatagrams() {
        Fleet fleet = runningFleet(6, 11);
        Node node = fleet.nodes[0];
        SplittableRandom random = new SplittableRandom(12);
        List<byte[]> datagrams = new ArrayList<>(List.of(
                PeerMessageCodec.hello(9, 9),
                PeerMessageCodec.stateRequest(9, 9),
                PeerMessageCodec.loadReport(9, 9, LOAD_REPORT).orElseThrow(),
                PeerMessageCodec.stateResponse(
                        9,
                        9,
                        new PeerMessage.StateResponse(
                                3, 4, List.of(new PeerMessage.LocalityState(5, LearnedLocality.ofRow(1, 2, 3, 4)))))));
        datagrams.addAll(PeerMessageCodec.orders(
                PeerMessage.Kind.REPLICATE_ORDERS,
                9,
                9,
                Map.of(
                        "s1",
                        new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, START),
                        "s2",
                        new PersistentState.MaintenanceOrder(START, START)),
                START));
        for (byte[] datagram : datagrams) {
            for (int i = 0; i < datagram.length; i++) {
                node.recovery.receive(fleet.now, 1, Arrays.copyOf(datagram, i));
                for (int bit = 0; bit < 8; bit++) {
                    byte[] changed = datagram.clone();
                    changed[i] ^= (byte) (1 << bit);
                    node.recovery.receive(fleet.now, 1 + bit % 5, changed);
                }
            }
        }
        for (int i = 0; i < 20_000; i++) {
            byte[] any = new byte[random.nextInt(300)];
            random.nextBytes(any);
            if (any.length > 1) {
                any[0] = 2;
                any[1] = (byte) random.nextInt(7);
            }
            node.recovery.receive(fleet.now, 1 + random.nextInt(5), any);
        }
        assertTrue(node.recovery.dropped().malformed() > 10_000);
        assertTrue(node.recovery.replicatedFor().values().stream().allMatch(orders -> orders.size() <= 256));
        assertTrue(node.recovery.incarnation() < 1L << 47);
        assertTrue(PeerMessageCodec.decode(new byte[0]).isEmpty());
        assertTrue(PeerMessageCodec.decode(new byte[257]).isEmpty());
    }
}
