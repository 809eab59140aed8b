package gorsestack.server;

import java.util.concurrent.CountDownLatch;

/**
 * Blocks the handling of signals, and of changes of the configuration file, that occur during the start until the balancer is assembled.
 * Thread-safe.
 */
final class StartGate {
    private final CountDownLatch openSignal = new CountDownLatch(1);

    /** Opens the gate permanently. Writes before this call are visible to every thread that returns from {@link #await}. */
    void open() {
        openSignal.countDown();
    }

    /** Waits until the gate is open; returns false if the thread is interrupted while it waits. */
    boolean await() {
        try {
            openSignal.await();
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
