package gorsestack.wire;

import java.util.concurrent.Executor;

/** The one thread that owns the module and all that is kept in memory, and its clock. */
public interface EventLoop extends Executor {

    /** Nanoseconds since 1970 that never go back. */
    long now();

    /** Nanoseconds since 1970 as the wall clock has them by now; it may be set at any time, either way. */
    default long wallClock() {
        return now();
    }

    /** Runs a task once the clock has reached that time; what is returned calls it off. */
    Runnable at(long time, Runnable task);
}
