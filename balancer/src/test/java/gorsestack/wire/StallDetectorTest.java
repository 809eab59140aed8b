package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.PriorityQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a response that stops arriving and keeps its call open, and against one that is cut off although it arrives. */
class StallDetectorTest {
    private static final long TIMEOUT = 100;

    private record Timer(long time, Runnable task) {}

    /** An event loop that runs timers in order, on a clock that the test advances. */
    private static final class ManualLoop implements EventLoop {
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>((left, right) -> Long.compare(left.time, right.time));
        private long now;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Runnable at(long time, Runnable task) {
            Timer timer = new Timer(time, task);
            timers.add(timer);
            return () -> timers.remove(timer);
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }

        void advanceTo(long time) {
            while (!timers.isEmpty() && timers.peek().time <= time) {
                Timer due = timers.remove();
                now = due.time;
                due.task.run();
            }
            now = time;
        }
    }

    private final ManualLoop loop = new ManualLoop();
    private boolean incomplete = true;
    private int stalls;
    private final StallDetector detector = new StallDetector(loop, () -> incomplete, () -> TIMEOUT, () -> stalls++);

    @BeforeEach
    void responseBegins() {
        detector.bytesReceived();
        detector.watch();
    }

    @Test
    void reportsStallWhenResponseIsSilentForTimeout() {
        loop.advanceTo(TIMEOUT - 1);
        assertEquals(0, stalls);
        loop.advanceTo(TIMEOUT);
        assertEquals(1, stalls);
    }

    @Test
    void restartsTimeoutWhenBytesArrive() {
        loop.advanceTo(60);
        detector.bytesReceived();
        detector.watch();
        assertEquals(1, loop.timers.size(), "a response that is watched gets no second timer");
        loop.advanceTo(60 + TIMEOUT - 1);
        assertEquals(0, stalls);
        loop.advanceTo(60 + TIMEOUT);
        assertEquals(1, stalls);
    }

    @Test
    void stopsWatchingWhenResponseIsComplete() {
        incomplete = false;
        loop.advanceTo(10 * TIMEOUT);
        assertEquals(0, stalls);
        assertEquals(0, loop.timers.size());
        incomplete = true;
        detector.bytesReceived();
        detector.watch();
        loop.advanceTo(11 * TIMEOUT);
        assertEquals(1, stalls, "the next response is watched again");
    }

    @Test
    void ignoresSilenceWhileReadingIsPaused() {
        detector.pause(true);
        loop.advanceTo(10 * TIMEOUT);
        assertEquals(0, stalls);
        detector.pause(false);
        loop.advanceTo(11 * TIMEOUT);
        assertEquals(1, stalls);
    }
}
