package gorsestack.wire;

import java.util.concurrent.Executor;

/** The single thread that owns the balancing policy and all state of calls and connections, with its clock and timers. */
public interface EventLoop extends Executor {

    /** Returns nanoseconds since 1970 by a monotonic clock. */
    long now();

    /** Returns nanoseconds since 1970 by the wall clock, which may be set forward or back at any time. */
    default long wallClock() {
        return now();
    }

    /** Runs a task once the clock has reached the given time. Running the returned task cancels it. */
    Runnable at(long time, Runnable task);
}
