package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.decision.LearnedLocality;
import gorsestack.recovery.PersistentState.MaintenanceOrder;
import gorsestack.wire.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against an order that is overridden by an earlier one from another process or peer, and against orders that are never removed. */
class MaintenanceOrdersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_000_000 * SECOND;

    private final List<String> changes = new ArrayList<>();
    private int notifications;
    private final MaintenanceOrders orders = new MaintenanceOrders(new ImmediateLoop(), new RecordingListener());

    /** Event loop that runs each task at once, at a fixed time. */
    private static final class ImmediateLoop implements EventLoop {
        @Override
        public long now() {
            return NOW;
        }

        @Override
        public Runnable at(long time, Runnable task) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }
    }

    private final class RecordingListener implements Handover.Listener {
        @Override
        public void onMaintenanceOrder(String upstream, long endedAt) {
            changes.add(upstream + (endedAt == Handover.NOT_ENDED ? " out" : " back " + (endedAt - NOW)));
        }

        @Override
        public void ordersChanged(Map<String, MaintenanceOrder> all) {
            notifications++;
        }

        @Override
        public void otherProcessChanged(boolean otherRuns, boolean otherAccepts) {}

        @Override
        public List<LearnedLocality> exportLearned() {
            return List.of();
        }

        @Override
        public void restoreLearned(List<LearnedLocality> learned) {}
    }

    @Test
    void newOrderIsLaterThanTheOneItReplaces() {
        orders.put("s1", Handover.NOT_ENDED, NOW + SECOND);
        orders.put("s1", Handover.NOT_ENDED, NOW + 2 * SECOND);
        assertEquals(
                new MaintenanceOrder(Handover.NOT_ENDED, NOW + SECOND),
                orders.all().get("s1"),
                "a repeated order changes nothing");
        orders.put("s1", NOW, NOW);
        assertEquals(new MaintenanceOrder(NOW, NOW + SECOND + 1), orders.all().get("s1"));
    }

    @Test
    void mergeNotifiesListenerOfChanges() {
        orders.merge(Map.of(
                "s1", new MaintenanceOrder(Handover.NOT_ENDED, NOW), "s2", new MaintenanceOrder(NOW + SECOND, NOW)));
        assertEquals(List.of("s1 out", "s2 back 0"), changes, "a time in the future is limited to the current time");
        orders.merge(Map.of("s1", new MaintenanceOrder(NOW - 1, NOW - 1)));
        orders.merge(orders.all());
        assertEquals(2, changes.size(), "an earlier order changes nothing");
        assertEquals(1, notifications);
        orders.merge(Map.of("s1", new MaintenanceOrder(NOW - 1, NOW + 1)));
        assertEquals("s1 back -1", changes.get(2));
        assertEquals(2, notifications);
    }

    @Test
    void peersCopyWithinToleranceIsSameOrder() {
        orders.put("s1", Handover.NOT_ENDED, NOW);
        Map<String, MaintenanceOrder> received = Map.of(
                "s1", new MaintenanceOrder(Handover.NOT_ENDED, NOW - SECOND / 2),
                "s2", new MaintenanceOrder(Handover.NOT_ENDED, NOW));
        assertEquals(Map.of("s2", received.get("s2")), orders.unknownAmong(received));
        Map<String, MaintenanceOrder> ended = Map.of("s1", new MaintenanceOrder(NOW, NOW));
        assertEquals(ended, orders.unknownAmong(ended));
        Map<String, MaintenanceOrder> earlier =
                Map.of("s1", new MaintenanceOrder(Handover.NOT_ENDED, NOW - 2 * SECOND));
        assertEquals(earlier, orders.unknownAmong(earlier));
    }

    @Test
    void removesOrdersThatEndedMoreThanTenMinutesAgo() {
        orders.put("s1", Handover.NOT_ENDED, NOW);
        orders.put("s2", NOW, NOW);
        orders.removeExpired(NOW + 600 * SECOND);
        assertEquals(2, orders.all().size());
        orders.removeExpired(NOW + 601 * SECOND);
        assertEquals(List.of("s1"), List.copyOf(orders.all().keySet()));
    }
}
