package gorsestack.admin;

import gorsestack.recovery.PersistentState;
import gorsestack.recovery.PersistentState.MaintenanceOrder;
import gorsestack.wire.EventLoop;
import java.util.Map;
import java.util.TreeMap;

/**
 * Maintenance orders of the operators that this process knows, and whether all of them are on the disk. Of two orders for one upstream the
 * later one applies, whichever process received it. Used by {@link Handover} and {@link SharedStateFile} on the handover's thread and, at
 * the first load, on the thread that creates the handover; calls the listener on the event loop's thread.
 */
final class MaintenanceOrders {
    /**
     * Difference in nanoseconds up to which the times of two copies count as those of the same order. Times received from peers are
     * computed from ages, so they differ by the delay of the network.
     */
    private static final long SAME_ORDER_TOLERANCE_NANOS = 1_000_000_000L;
    /**
     * Time in nanoseconds for which the order of an upstream that was put back into service is stored. The upstream has finished its slow
     * start by then.
     */
    private static final long RETENTION_NANOS = 600_000_000_000L;

    private final EventLoop eventLoop;
    private final Handover.Listener listener;
    private Map<String, MaintenanceOrder> orders = new TreeMap<>();
    /** Whether an order may be missing on the disk. */
    private volatile boolean unsaved;

    MaintenanceOrders(EventLoop eventLoop, Handover.Listener listener) {
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    /** Returns the current orders by upstream, without copying them. */
    Map<String, MaintenanceOrder> all() {
        return orders;
    }

    /** Returns whether an order may be missing on the disk. */
    boolean unsaved() {
        return unsaved;
    }

    void markUnsaved() {
        unsaved = true;
    }

    void markSaved() {
        unsaved = false;
    }

    /** Records an order. An order that repeats the current one changes nothing. */
    void put(String upstream, long endedAt, long orderedAt) {
        MaintenanceOrder current = orders.get(upstream);
        if (current == null || current.endedAt() != endedAt) {
            // The new order must be the later one even if the clock of the process that received the current order runs
            // ahead.
            long laterThanCurrent = current == null ? orderedAt : Math.max(orderedAt, current.orderedAt() + 1);
            orders.put(upstream, new MaintenanceOrder(endedAt, laterThanCurrent));
        }
    }

    /** Merges the orders of another copy, of which the later ones replace the current ones, and notifies the listener of changes. */
    void merge(Map<String, MaintenanceOrder> others) {
        Map<String, MaintenanceOrder> previous = orders;
        orders = new TreeMap<>(PersistentState.merged(orders, others));
        if (!orders.equals(previous)) {
            notifyOfAll();
        }
        orders.forEach((upstream, order) -> {
            if (!previous.containsKey(upstream) || previous.get(upstream).endedAt() != order.endedAt()) {
                // With a time in the future, the upstream would stay in slow start until the clock reaches that time.
                long endedAt = order.endedAt() == Handover.NOT_ENDED
                        ? Handover.NOT_ENDED
                        : Math.min(order.endedAt(), eventLoop.now());
                eventLoop.execute(() -> listener.onMaintenanceOrder(upstream, endedAt));
            }
        });
    }

    /** Returns the orders of a peer's copy that differ from the ones known here. */
    Map<String, MaintenanceOrder> unknownAmong(Map<String, MaintenanceOrder> received) {
        Map<String, MaintenanceOrder> unknown = new TreeMap<>(received);
        unknown.entrySet().removeIf(entry -> isSameOrder(orders.get(entry.getKey()), entry.getValue()));
        return unknown;
    }

    private static boolean isSameOrder(MaintenanceOrder known, MaintenanceOrder received) {
        return known != null
                && (known.endedAt() == Handover.NOT_ENDED) == (received.endedAt() == Handover.NOT_ENDED)
                && Math.abs(known.orderedAt() - received.orderedAt()) < SAME_ORDER_TOLERANCE_NANOS;
    }

    /** Removes the orders of upstreams that were put back into service longer ago than the retention time. */
    void removeExpired(long now) {
        orders.values()
                .removeIf(order -> order.endedAt() != Handover.NOT_ENDED && order.endedAt() < now - RETENTION_NANOS);
    }

    /** Notifies the listener of all orders. */
    void notifyOfAll() {
        Map<String, MaintenanceOrder> all = Map.copyOf(orders);
        eventLoop.execute(() -> listener.ordersChanged(all));
    }
}
