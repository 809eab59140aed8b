package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.LearnedLocality;
import gorsestack.proxy.EventLoopThread;
import gorsestack.wire.EventLoop;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against maintenance orders that are lost while writes fail, or because the clocks of two processes differ. */
@Timeout(60)
class HandoverTest {
    private static final long HOUR = 3_600_000_000_000L;

    @TempDir
    private Path folder;

    /** Returns an event loop whose clock differs from the wall clock by the given nanoseconds. */
    private static EventLoop eventLoopWithClockOffset(long offset) {
        EventLoopThread delegate = new EventLoopThread();
        return new EventLoop() {
            @Override
            public long now() {
                return delegate.now() + offset;
            }

            @Override
            public Runnable at(long time, Runnable task) {
                return delegate.at(time - offset, task);
            }

            @Override
            public void execute(Runnable task) {
                delegate.execute(task);
            }
        };
    }

    /** Process that records the maintenance orders it receives, by upstream: the time at which they ended, or NOT_ENDED. */
    private final class BalancerProcess implements Handover.Listener {
        final Map<String, Long> maintenance = new ConcurrentHashMap<>();
        final EventLoop eventLoop;
        final Handover handover;

        BalancerProcess(long clockOffset) {
            eventLoop = eventLoopWithClockOffset(clockOffset);
            handover = new Handover(folder, "n1", true, eventLoop, this);
        }

        boolean order(String upstream, boolean maintenanceOrdered) throws InterruptedException {
            BlockingQueue<Boolean> saved = new LinkedBlockingQueue<>();
            handover.order(upstream, maintenanceOrdered ? Handover.NOT_ENDED : eventLoop.now(), saved::add);
            return saved.poll(10, TimeUnit.SECONDS);
        }

        boolean saved() throws InterruptedException {
            BlockingQueue<Boolean> saved = new LinkedBlockingQueue<>();
            handover.confirmSaved(saved::add);
            return saved.poll(10, TimeUnit.SECONDS);
        }

        /** Returns the orders received, after all pending tasks of the event loop have run. */
        Map<String, Long> received() throws InterruptedException {
            BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
            eventLoop.execute(() -> done.add(true));
            done.poll(10, TimeUnit.SECONDS);
            return maintenance;
        }

        @Override
        public void onMaintenanceOrder(String upstream, long endedAt) {
            maintenance.put(upstream, endedAt);
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

    /** While writes fail, an order is not acknowledged; the write is retried without another order. */
    @Test
    void acknowledgesOnlyOrdersOnTheDiskAndRetriesFailedWrites() throws Exception {
        BalancerProcess process = new BalancerProcess(0);
        process.handover.start();
        Path obstacle = folder.resolve("gorsestack-n1.state.new");
        Files.createDirectory(obstacle);
        assertFalse(process.order("s1", true), "an order that was not written was acknowledged");
        assertFalse(process.saved());
        Files.delete(obstacle);
        Path state = folder.resolve("gorsestack-n1.state");
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!Files.exists(state)) {
            assertTrue(System.nanoTime() < deadline, "the order was not written in time without another order");
            Thread.onSpinWait();
        }
        assertTrue(process.saved());
        assertEquals(
                Handover.NOT_ENDED,
                new BalancerProcess(0).received().get("s1"),
                "the upstream must be in maintenance in the next process");
    }

    /** The folder does not exist at the start and is created later. */
    @Test
    void savesOrdersWhenFolderIsCreatedAfterStart() throws Exception {
        Files.delete(folder);
        BalancerProcess process = new BalancerProcess(0);
        process.handover.start();
        assertFalse(process.order("s1", true));
        Files.createDirectory(folder);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!process.saved()) {
            assertTrue(System.nanoTime() < deadline);
        }
        assertEquals(Handover.NOT_ENDED, new BalancerProcess(0).received().get("s1"));
    }

    /** If the wall clock was set between the starts of two processes, the later order applies, and its age is correct. */
    @Test
    void laterOrderAppliesWhenClocksDiffer() throws Exception {
        for (long offset : new long[] {-HOUR, -5_000_000_000L, 5_000_000_000L, HOUR}) {
            String upstream = "s" + offset;
            assertTrue(new BalancerProcess(0).order(upstream, true));
            BalancerProcess successor = new BalancerProcess(offset);
            assertEquals(Handover.NOT_ENDED, successor.received().get(upstream));
            assertTrue(successor.order(upstream, false));
            BalancerProcess last = new BalancerProcess(0);
            long endedAt = last.received().get(upstream);
            long age = last.eventLoop.now() - endedAt;
            assertTrue(
                    endedAt != Handover.NOT_ENDED && age >= 0 && age < 30_000_000_000L,
                    "back " + age + " ns ago, clock offset " + offset);
        }
    }
}
