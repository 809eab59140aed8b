package gorsestack.memory;

import gorsestack.wire.Clock;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The one thread that owns the module and all that is kept in memory; everything is handed to it. */
public final class Owner implements Executor {
    private static final System.Logger LOG = System.getLogger("gorsestack.owner");

    private final ScheduledThreadPoolExecutor thread = new ScheduledThreadPoolExecutor(1,
            task -> new Thread(task, "owner"));

    public Owner() {
        thread.setRemoveOnCancelPolicy(true);
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(() -> guard(task));
    }

    /** Runs a task once the clock has reached that time. */
    public Future<?> at(long time, Runnable task) {
        return thread.schedule(() -> guard(task), time - Clock.now(), TimeUnit.NANOSECONDS);
    }

    /** Danger: one input that trips a fault must not take the thread, and every other call, with it. */
    private static void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "a task failed", e);
        }
    }
}
