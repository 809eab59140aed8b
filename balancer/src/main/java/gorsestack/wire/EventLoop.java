package gorsestack.wire;

import java.util.concurrent.Executor;

/** The one thread that owns the module and all that is kept in memory, and its clock. */
public interface EventLoop extends Executor {

    /** Nanoseconds since 1970 that never go back. */
    long now();

    /** Runs a task once the clock has reached that time; what is returned calls it off. */
    Runnable at(long time, Runnable task);
}
