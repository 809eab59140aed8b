package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.SeededRandom;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against maintenance orders that are lost with a balancer's disk, and against replicas that store orders without bound. */
class OrderReplicationTest {
    private static final long SECOND = 1_000_000_000L;

    private static Map<String, PersistentState.MaintenanceOrder> inMaintenance(String... upstreams) {
        Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
        for (String upstream : upstreams) {
            orders.put(upstream, new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 1));
        }
        return orders;
    }

    @Test
    void choosesThreeOtherBalancersAsReplicas() {
        assertEquals(List.of(6, 12, 18), OrderReplication.replicasOf(0, 24));
        assertEquals(List.of(1), OrderReplication.replicasOf(0, 2));
        assertEquals(List.of(), OrderReplication.replicasOf(0, 1));
        for (int count = 4; count < 100; count++) {
            for (int balancer = 0; balancer < count; balancer++) {
                List<Integer> replicas = OrderReplication.replicasOf(balancer, count);
                assertEquals(3, replicas.size());
                assertFalse(replicas.contains(balancer));
            }
        }
    }

    @Test
    void storesOrdersOnlyForBalancersItIsReplicaOf() {
        OrderReplication replication = new OrderReplication(6, 24);
        assertTrue(replication.store(0, inMaintenance("s1")));
        assertFalse(replication.store(1, inMaintenance("s2")));
        assertTrue(replication.store(0, inMaintenance("s3")));
        assertEquals(inMaintenance("s1", "s3"), replication.storedFor(0));
        assertEquals(Map.of(), replication.storedFor(1));
    }

    @Test
    void dropsOrdersThatEndedFirstWhenLimitIsExceeded() {
        OrderReplication replication = new OrderReplication(6, 24);
        Map<String, PersistentState.MaintenanceOrder> orders = inMaintenance("out");
        for (int i = 0; i < 300; i++) {
            orders.put("s" + i, new PersistentState.MaintenanceOrder(i, i));
        }
        replication.store(0, orders);
        Map<String, PersistentState.MaintenanceOrder> stored = replication.storedFor(0);
        assertEquals(256, stored.size());
        assertTrue(stored.containsKey("out") && stored.containsKey("s299") && !stored.containsKey("s0"));
    }

    @Test
    void repeatsOrdersAfterOneThenTwoThenAtLeastThirtySeconds() {
        OrderReplication replication = new OrderReplication(0, 24);
        SeededRandom random = new SeededRandom(1);
        assertEquals(Long.MAX_VALUE, replication.nextSendAt());
        replication.setOwnOrders(0, inMaintenance("s1"));
        assertEquals(SECOND, replication.nextSendAt());
        replication.scheduleRepeat(SECOND, random);
        assertEquals(3 * SECOND, replication.nextSendAt());
        replication.scheduleRepeat(3 * SECOND, random);
        assertTrue(replication.nextSendAt() >= 33 * SECOND && replication.nextSendAt() <= 63 * SECOND);
        replication.setOwnOrders(0, Map.of());
        replication.scheduleRepeat(SECOND, random);
        assertEquals(Long.MAX_VALUE, replication.nextSendAt(), "there are no orders to repeat");
    }
}
