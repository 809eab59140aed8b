package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.decision.LearnedLocality;
import gorsestack.proxy.EventLoopThread;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.StateCodec;
import gorsestack.testing.Fixture;
import gorsestack.wire.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against changes in the format of the file that two processes of one balancer share, by which an upgrade would lose maintenance
 * orders, learned state or the endpoint snapshot. Compares the file with a fixture. The boot identifier and the origin of the clock differ
 * between runs, so both are replaced by constants before the comparison.
 */
@Timeout(60)
class HandoverFileFormatTest {
    private static final Fixture FIXTURE = new Fixture("handover-file.txt");
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;
    private static final long ENDED_AT = NOW - SECOND;
    private static final long INCARNATION = 1_764_000_000_123L;
    private static final int WAIT_SECONDS = 20;

    @TempDir
    private Path folder;

    /** Event loop with a clock that does not advance. */
    private static final class FixedClockLoop implements EventLoop {
        private final EventLoopThread thread = new EventLoopThread();

        @Override
        public long now() {
            return NOW;
        }

        @Override
        public Runnable at(long time, Runnable task) {
            return thread.at(time, task);
        }

        @Override
        public void execute(Runnable task) {
            thread.execute(task);
        }
    }

    /** Process of the balancer that records its notifications. */
    private final class BalancerProcess implements Handover.Listener {
        private final BlockingQueue<Map<String, PersistentState.MaintenanceOrder>> orders = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> learnedStates = new LinkedBlockingQueue<>();
        private final Handover handover = new Handover(folder, "n1 é", true, new FixedClockLoop(), this);

        void order(String upstream, long endedAt) throws InterruptedException {
            BlockingQueue<Boolean> saved = new LinkedBlockingQueue<>();
            handover.order(upstream, endedAt, saved::add);
            assertEquals(true, saved.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }

        @Override
        public void onMaintenanceOrder(String upstream, long endedAt) {}

        @Override
        public void otherProcessChanged(boolean otherRuns, boolean otherAccepts) {}

        @Override
        public List<LearnedLocality> exportLearned() {
            return List.of(LearnedLocality.ofRow(4, 0.2, 0.01, 33), LearnedLocality.ofRow(2e-9));
        }

        @Override
        public void restoreLearned(List<LearnedLocality> learned) {
            learnedStates.add(learned.toString());
        }

        @Override
        public void ordersChanged(Map<String, PersistentState.MaintenanceOrder> all) {
            orders.add(all);
        }

        @Override
        public PersistentState.EndpointSnapshot endpointSnapshot() {
            return new PersistentState.EndpointSnapshot(
                    41,
                    "127.0.0.1:8500",
                    NOW - 5,
                    List.of(new PersistentState.StoredEndpoint(
                            "s1", "127.0.0.1:80", "a", "m2", 3, "in_service", 1, 7)));
        }
    }

    private Path file() {
        return folder.resolve("gorsestack-n1+%C3%A9.state");
    }

    private static Map<String, PersistentState.MaintenanceOrder> orders() {
        return Map.of(
                "s1",
                new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW),
                "s/2 é",
                new PersistentState.MaintenanceOrder(ENDED_AT, NOW + 1));
    }

    /** Returns the text of the file with constants for the boot identifier and the origin of the clock, and with a matching checksum. */
    private String normalized() throws IOException {
        String text = Files.readString(file());
        String[] lines = text.split("\n", 3);
        ObjectNode origin = (ObjectNode) new ObjectMapper().readTree(StateCodec.verifiedJson(lines[1]));
        assertTrue(origin.path("boot").isTextual() && origin.path("clock").isIntegralNumber(), lines[1]);
        origin.put("boot", "").put("clock", 0);
        return lines[0] + "\n" + StateCodec.line(origin.toString()) + lines[2];
    }

    /** Returns whether the file contains an endpoint. A save renames the previous copy first, so the file may be missing for a moment. */
    private boolean endpointsWritten() throws IOException {
        try {
            return Files.readString(file()).contains("\"is\":\"member\"");
        } catch (NoSuchFileException e) {
            return false;
        }
    }

    private void awaitEndpoints() throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!endpointsWritten()) {
            assertTrue(System.nanoTime() < deadline, "the endpoint list was not written in time");
            Thread.sleep(10);
        }
    }

    /** Replaces the shared file by the fixture, atomically. */
    private void writeFixture() throws IOException {
        Path copy = folder.resolve("copy");
        Files.write(copy, FIXTURE.bytes());
        Files.move(copy, file(), StandardCopyOption.ATOMIC_MOVE);
    }

    @Test
    void writesFileOfFixture() throws Exception {
        BalancerProcess process = new BalancerProcess();
        process.order("s1", Handover.NOT_ENDED);
        process.order("s/2 é", Handover.NOT_ENDED);
        process.order("s/2 é", ENDED_AT);
        process.handover.startSnapshots(INCARNATION);
        awaitEndpoints();
        FIXTURE.assertSame(normalized());
    }

    @Test
    void readsFileOfFixture() throws Exception {
        new BalancerProcess();
        BalancerProcess successor = new BalancerProcess();
        successor.handover.start();
        writeFixture();
        assertEquals(orders(), successor.orders.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(
                "[[4.0, 0.2, 0.01, 33.0], [2.0E-9]]", successor.learnedStates.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void writesSameFileAfterReadingIt() throws Exception {
        writeFixture();
        BalancerProcess process = new BalancerProcess();
        process.order("s1", Handover.NOT_ENDED);
        FIXTURE.assertSame(normalized());
    }
}
