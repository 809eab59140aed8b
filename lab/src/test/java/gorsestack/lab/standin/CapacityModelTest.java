package gorsestack.lab.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Tests the capacity of a stand-in for an upstream against a manual clock. Guards against stand-ins that are faster or slower than
 * their settings say, which would distort the metrics of all runs.
 */
class CapacityModelTest {
    private static final long MS = 1_000_000;

    private record ScheduledTask(long dueAt, int order, Runnable task) {}

    /** A timer that advances only when the test says so, and runs the tasks that become due. */
    private static final class ManualClock implements CapacityModel.Timer {
        private long now;
        private int order;
        private final PriorityQueue<ScheduledTask> tasks =
                new PriorityQueue<>((a, b) -> a.dueAt != b.dueAt ? Long.compare(a.dueAt, b.dueAt) : a.order - b.order);

        @Override
        public long now() {
            return now;
        }

        @Override
        public Runnable after(long nanos, Runnable task) {
            ScheduledTask due = new ScheduledTask(now + nanos, order++, task);
            tasks.add(due);
            return () -> tasks.remove(due);
        }

        void advance(long ms) {
            long until = now + ms * MS;
            while (!tasks.isEmpty() && tasks.peek().dueAt <= until) {
                ScheduledTask due = tasks.poll();
                now = due.dueAt;
                due.task.run();
            }
            now = until;
        }
    }

    private final ManualClock clock = new ManualClock();
    private final List<Long> endTimes = new ArrayList<>();
    private final List<CapacityModel.Overload> overloads = new ArrayList<>();

    private CapacityModel model(int slots, int maxQueue, boolean warm) {
        return new CapacityModel(
                clock, new CapacityModel.Settings(1, slots, maxQueue, 10, 0.2, 1, 2.5), warm, overloads::add);
    }

    private CapacityModel.Job offer(CapacityModel model, double work) {
        return model.accept(work, job -> {
            endTimes.add(clock.now() / MS);
            model.release(job);
        });
    }

    @Test
    void rejectsJobsWhenSlotsAndQueueAreFull() {
        CapacityModel model = model(2, 1, true);
        assertNotNull(offer(model, 10));
        assertNotNull(offer(model, 20));
        assertNotNull(offer(model, 10));
        assertNull(offer(model, 10));
        clock.advance(100);
        assertEquals(List.of(10L, 20L, 20L), endTimes);
    }

    @Test
    void isSlowerAndCanBeOverloadedDuringSlowStart() {
        CapacityModel model = model(1, 100, false);
        offer(model, 10);
        clock.advance(100);
        assertEquals(List.of(50L), endTimes);
        // At 100 ms the capacity is 208 ms of work in a second, so more than 2.5 times that, 520 ms, is an overload.
        // 490 ms of work are offered.
        for (int i = 0; i < 48; i++) {
            offer(model, 10);
        }
        assertEquals(0, overloads.size());
        for (int i = 0; i < 10; i++) {
            offer(model, 10);
        }
        assertEquals(true, overloads.size() > 0);
        clock.advance(20_000);
        overloads.clear();
        for (int i = 0; i < 100; i++) {
            offer(model, 10);
        }
        assertEquals(0, overloads.size(), "after the slow start, excess jobs wait and are no overload");
    }

    @Test
    void releasedJobsDoNotDelayOthersWhetherWaitingOrRunning() {
        CapacityModel model = model(1, 5, true);
        CapacityModel.Job first = offer(model, 10);
        CapacityModel.Job second = offer(model, 10);
        offer(model, 10);
        model.release(second);
        clock.advance(5);
        model.release(first);
        clock.advance(100);
        assertEquals(List.of(15L), endTimes);
        assertEquals(0, model.jobs());
    }

    @Test
    void completesNoJobWhileHanging() {
        CapacityModel model = model(2, 5, true);
        offer(model, 10);
        clock.advance(5);
        model.setHanging(true);
        offer(model, 10);
        clock.advance(1000);
        assertEquals(List.of(), endTimes);
        model.setHanging(false);
        clock.advance(100);
        assertEquals(List.of(1005L, 1015L), endTimes);
    }
}
