package gorsestack.lab;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Collects errors of the lab itself. Event-loop tasks and background threads report their errors here, because no caller waits for their
 * results. A run during which an error was reported is inconclusive and gets the verdict VOID. All methods may be called from any thread.
 */
public final class InternalErrors {
    private static final AtomicReference<String> FIRST = new AtomicReference<>();

    private InternalErrors() {}

    /** Keeps the first error since {@link #clear()} and prints its stack trace. Later errors are ignored, as they usually follow from it. */
    public static void report(Throwable error) {
        if (FIRST.compareAndSet(null, error.toString())) {
            error.printStackTrace();
        }
    }

    /** Returns the description of the first error since {@link #clear()}, or null if there was none. */
    public static String first() {
        return FIRST.get();
    }

    /** Discards the recorded error. The main thread calls this before each run. */
    public static void clear() {
        FIRST.set(null);
    }
}
