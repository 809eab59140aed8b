package gorsestack.wire;

import java.util.concurrent.ThreadFactory;
import java.util.function.IntConsumer;

/**
 * Creates threads without which no call can be answered. If one of them ends with an error, the process ends too, so that its supervisor
 * starts another; it would otherwise go on accepting connections and never answer. Used by {@link MinaNetwork}.
 */
final class CriticalThreadFactory implements ThreadFactory {
    /** The exit code of a process that ends because one of its threads has failed: EX_SOFTWARE of sysexits.h. */
    static final int EXIT_CODE = 70;

    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final String name;
    private final IntConsumer exit;

    /**
     * Creates a factory.
     *
     * @param name the name of all threads
     * @param exit ends the process with an exit code, without running shutdown hooks
     */
    CriticalThreadFactory(String name, IntConsumer exit) {
        this.name = name;
        this.exit = exit;
    }

    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((failed, error) -> endProcess(error));
        return thread;
    }

    private void endProcess(Throwable error) {
        try {
            LOG.log(System.Logger.Level.ERROR, "thread_failed thread=" + name + " exit_code=" + EXIT_CODE, error);
        } finally {
            exit.accept(EXIT_CODE); // Also if there is no memory left for the log line.
        }
    }
}
