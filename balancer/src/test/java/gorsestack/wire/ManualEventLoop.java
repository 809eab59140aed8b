package gorsestack.wire;

/** A single-threaded event loop whose clock moves only when the test advances it. */
public final class ManualEventLoop implements EventLoop {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimerQueue timers = new TimerQueue();
    private long now;

    /** Creates a loop whose clock starts at the given number of milliseconds since 1970. */
    public ManualEventLoop(long startMillis) {
        now = startMillis * NANOS_PER_MILLI;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        at(now, task);
    }

    @Override
    public Runnable at(long time, Runnable task) {
        return timers.add(Math.max(time, now), task);
    }

    /** Runs every task that is due by now. */
    public void runPending() {
        advance(0);
    }

    /** Advances the clock, running each task at the time it is due. */
    public void advance(long millis) {
        long end = now + millis * NANOS_PER_MILLI;
        TimerQueue.Timer timer;
        while ((timer = timers.pollDue(end)) != null) {
            now = timer.dueAt();
            timer.task().run();
        }
        now = end;
    }
}
