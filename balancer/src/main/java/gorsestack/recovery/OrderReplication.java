package gorsestack.recovery;

import gorsestack.decision.SeededRandom;
import gorsestack.recovery.PersistentState.MaintenanceOrder;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Replicates maintenance orders, so that a balancer that loses its disk can restore them: three peers, or all if there are fewer, store
 * each balancer's orders. Used by {@link PeerRecovery} on its thread. Callers pass the current time; this class performs no I/O and starts
 * no timers.
 */
final class OrderReplication {
    /** Number of peers that store the orders of one balancer. */
    private static final int REPLICAS = 3;

    private static final long SECOND = 1_000_000_000L;
    /** Delay in nanoseconds before orders are sent again, as a datagram may be lost. */
    private static final long FIRST_REPEAT_DELAY = SECOND;

    /** Delay in nanoseconds between the first repeat and the second one. */
    private static final long SECOND_REPEAT_DELAY = 2 * SECOND;
    /**
     * Shortest delay in nanoseconds between further repeats, which are needed as a replica may have restarted. Random jitter adds up to as
     * much again.
     */
    private static final long REPEAT_INTERVAL = 30 * SECOND;
    /** Maximum number of orders stored for one balancer, to bound memory. No operator has more upstreams in maintenance at once. */
    private static final int MAX_ORDERS = 256;

    private final int self;
    private final int balancerCount;
    private final Map<Integer, Map<String, MaintenanceOrder>> replicatedFor = new HashMap<>();
    private Map<String, MaintenanceOrder> ownOrders = Map.of();
    private long nextSendAt = Long.MAX_VALUE;
    private boolean secondRepeatPending;

    OrderReplication(int self, int balancerCount) {
        this.self = self;
        this.balancerCount = balancerCount;
    }

    /**
     * Returns the peers that store a balancer's orders: three with distant indexes, so that they are rarely all in one zone; all peers if
     * there are fewer.
     */
    static List<Integer> replicasOf(int balancer, int balancerCount) {
        TreeSet<Integer> replicas = new TreeSet<>();
        for (int i = 1; i <= REPLICAS && replicas.size() < balancerCount - 1; i++) {
            int peer = (balancer + Math.max(1, balancerCount * i / 4)) % balancerCount;
            while (peer == balancer || replicas.contains(peer)) {
                peer = (peer + 1) % balancerCount;
            }
            replicas.add(peer);
        }
        return List.copyOf(replicas);
    }

    /** Returns the peers that store the orders of this balancer. */
    List<Integer> replicas() {
        return replicasOf(self, balancerCount);
    }

    /** Returns all maintenance orders of this balancer, by upstream. */
    Map<String, MaintenanceOrder> ownOrders() {
        return ownOrders;
    }

    /** Replaces the orders of this balancer. The caller sends them now; the first repeat is scheduled. */
    void setOwnOrders(long now, Map<String, MaintenanceOrder> orders) {
        ownOrders = new TreeMap<>(orders);
        secondRepeatPending = true;
        nextSendAt = now + FIRST_REPEAT_DELAY;
    }

    /** Returns the time at which the orders of this balancer are to be sent again; Long.MAX_VALUE if no repeat is scheduled. */
    long nextSendAt() {
        return nextSendAt;
    }

    /** Schedules the next repeat after the orders of this balancer were sent. */
    void scheduleRepeat(long now, SeededRandom random) {
        if (ownOrders.isEmpty()) {
            nextSendAt = Long.MAX_VALUE;
        } else if (secondRepeatPending) {
            nextSendAt = now + SECOND_REPEAT_DELAY;
        } else {
            nextSendAt = now + REPEAT_INTERVAL + (long) (random.next() * REPEAT_INTERVAL);
        }
        secondRepeatPending = false;
    }

    /**
     * Stores orders of another balancer.
     *
     * @return whether this balancer is one of the other balancer's replicas; if it is not, nothing is stored
     */
    boolean store(int balancer, Map<String, MaintenanceOrder> orders) {
        if (!replicasOf(balancer, balancerCount).contains(self)) {
            return false;
        }
        Map<String, MaintenanceOrder> all = new TreeMap<>(PersistentState.merged(storedFor(balancer), orders));
        while (all.size() > MAX_ORDERS) {
            removeOldestEnded(all);
        }
        replicatedFor.put(balancer, all);
        return true;
    }

    /**
     * Removes the order that ended first. An order that has not ended is removed only if none has, as its end counts as the latest possible
     * time.
     */
    private static void removeOldestEnded(Map<String, MaintenanceOrder> orders) {
        String oldest = orders.entrySet().stream()
                .min(Comparator.comparingLong(entry -> entry.getValue().endedAt()))
                .orElseThrow()
                .getKey();
        orders.remove(oldest);
    }

    /** Returns the orders that are stored here for another balancer, by upstream. */
    Map<String, MaintenanceOrder> storedFor(int balancer) {
        return replicatedFor.getOrDefault(balancer, Map.of());
    }

    /** Returns all orders stored here for other balancers, by balancer. */
    Map<Integer, Map<String, MaintenanceOrder>> replicatedFor() {
        return replicatedFor;
    }
}
