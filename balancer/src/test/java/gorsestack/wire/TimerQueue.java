package gorsestack.wire;

import java.util.Comparator;
import java.util.PriorityQueue;

/** The timers of an event loop in tests, ordered by due time and, where that is equal, by the order of their creation. */
public final class TimerQueue {

    /** A task and the time in nanoseconds at which it is due. */
    public record Timer(long dueAt, long sequence, Runnable task) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    /** Adds a timer; running the returned task cancels it. */
    public Runnable add(long dueAt, Runnable task) {
        Timer timer = new Timer(dueAt, nextSequence++, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    /** Removes and returns the first timer that is due at the given time, or null if none is. */
    public Timer pollDue(long time) {
        return timers.isEmpty() || timers.peek().dueAt() > time ? null : timers.poll();
    }

    /** Returns the number of timers that wait. */
    public int size() {
        return timers.size();
    }

    /** Removes and returns the next timer, whenever it is due, or null if there is none. */
    public Timer poll() {
        return timers.poll();
    }
}
