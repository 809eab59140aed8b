package gorsestack.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A point at which the I/O thread stops until the test resumes it. */
final class ThreadPause {
    private final CountDownLatch reached = new CountDownLatch(1);
    private final CountDownLatch resumed = new CountDownLatch(1);

    /** Blocks the I/O thread, which calls this, until the test resumes it. */
    void hold() {
        reached.countDown();
        try {
            resumed.await(SocketRig.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the I/O thread has stopped. */
    void awaitReached() throws InterruptedException {
        awaitIoThread(reached);
    }

    void resume() {
        resumed.countDown();
    }

    /** Waits for a latch that the I/O thread counts down. */
    static void awaitIoThread(CountDownLatch latch) throws InterruptedException {
        if (!latch.await(SocketRig.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the I/O thread made no progress in time");
        }
    }
}
