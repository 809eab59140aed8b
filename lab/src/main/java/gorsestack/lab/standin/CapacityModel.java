package gorsestack.lab.standin;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Models the capacity of an upstream: slots that process jobs, a queue of jobs, a speed that grows during the slow start, and the load that
 * overloads the upstream during the slow start. It does no I/O and reads the time from a {@link Timer}. Used by {@link Upstream} and its
 * connections on the event loop.
 */
public final class CapacityModel {
    /** A clock that also schedules tasks. */
    public interface Timer {
        /** Returns the time in nanoseconds from an arbitrary origin. */
        long now();

        /** Schedules a task after a number of nanoseconds. The returned task cancels it. */
        Runnable after(long nanos, Runnable task);
    }

    /**
     * The parameters of an upstream. Its speed is the milliseconds of work that a slot does in a millisecond. During the slow start, its
     * capacity grows linearly from the initial fraction to the full capacity. During this time it is overloaded if the work offered within
     * the overload window exceeds the capacity within the window multiplied by the overload factor.
     */
    public record Settings(
            double speed,
            int slots,
            int maxQueue,
            double slowStartSeconds,
            double initialCapacity,
            double overloadWindowSeconds,
            double overloadFactor) {}

    /** An overload during the slow start: the work offered and the capacity within the overload window, in milliseconds of work. */
    public record Overload(double offeredMs, double capacityMs) {}

    /** The work of one request, which occupies a slot or waits in the queue. */
    public static final class Job {
        private final Consumer<Job> onDone;
        /** The work in milliseconds at a speed of 1. */
        private final double work;

        private Runnable cancelTimer = () -> {};
        private boolean running;
        /** Continues the job when the upstream no longer hangs; null if the job is not paused. */
        private Runnable resume;

        Job(double work, Consumer<Job> onDone) {
            this.work = work;
            this.onDone = onDone;
        }

        /** Returns whether the job has had a slot, which remains true after its release. */
        public boolean running() {
            return running;
        }
    }

    /** Work that arrived at a time, whether it was accepted or not. */
    private record OfferedWork(long offeredAt, double work) {}

    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Timer timer;
    private final Settings settings;
    private final double slowStartNanos;
    private final long windowNanos;
    private final Consumer<Overload> onOverload;
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<OfferedWork> offered = new ArrayDeque<>();
    /** The sum of the offered work within the overload window, in milliseconds. */
    private double offeredWork;

    private long startedAt;
    private double slowdown = 1;
    private boolean hanging;

    /** Creates the model of an upstream that starts now, or, if it is warm, of one whose slow start is over. */
    public CapacityModel(Timer timer, Settings settings, boolean warm, Consumer<Overload> onOverload) {
        this.timer = timer;
        this.settings = settings;
        this.onOverload = onOverload;
        slowStartNanos = settings.slowStartSeconds * NANOS_PER_SECOND;
        windowNanos = (long) (settings.overloadWindowSeconds * NANOS_PER_SECOND);
        startedAt = warm ? timer.now() - (long) slowStartNanos - 1 : timer.now();
    }

    /** Returns the fraction of the full capacity that is available now. */
    public double availableFraction() {
        double age = timer.now() - startedAt;
        return age >= slowStartNanos
                ? 1
                : settings.initialCapacity + (1 - settings.initialCapacity) * age / slowStartNanos;
    }

    /** Returns the number of jobs that have a slot or wait in the queue. */
    public int jobs() {
        return running.size() + queue.size();
    }

    /** Multiplies the duration of all work that starts from now on by a factor. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Pauses all work, or resumes it. */
    public void setHanging(boolean hang) {
        hanging = hang;
        if (!hang) {
            for (Job job : Set.copyOf(running)) {
                if (job.resume != null) {
                    Runnable resume = job.resume;
                    job.resume = null;
                    resume.run();
                }
            }
        }
    }

    /** Accepts a job, or returns null if the queue is full. The job keeps its slot when its work is done, until it is released. */
    public Job accept(double work, Consumer<Job> onDone) {
        recordOfferedWork(work);
        Job job = new Job(work, onDone);
        if (running.size() < settings.slots) {
            start(job);
            return job;
        }
        if (queue.size() < settings.maxQueue) {
            queue.add(job);
            return job;
        }
        return null;
    }

    private void recordOfferedWork(double work) {
        long now = timer.now();
        offered.add(new OfferedWork(now, work));
        offeredWork += work;
        while (offered.peek().offeredAt <= now - windowNanos) {
            offeredWork -= offered.poll().work;
        }
        double capacity = settings.slots * settings.speed * availableFraction() * windowNanos / NANOS_PER_MS;
        if (availableFraction() < 1 && offeredWork > settings.overloadFactor * capacity) {
            onOverload.accept(new Overload(offeredWork, capacity));
        }
    }

    private void start(Job job) {
        job.running = true;
        running.add(job);
        process(job, job.work, job.onDone);
    }

    private void process(Job job, double work, Consumer<Job> onDone) {
        if (hanging) {
            job.resume = () -> process(job, work, onDone);
            return;
        }
        long duration = (long) (work * NANOS_PER_MS * slowdown / (settings.speed * availableFraction()));
        job.cancelTimer = timer.after(duration, () -> {
            if (hanging) {
                job.resume = () -> onDone.accept(job);
            } else {
                onDone.accept(job);
            }
        });
    }

    /** Does more work in the slot of a job; does nothing if the job no longer has one. */
    public void addWork(Job job, double work, Consumer<Job> onDone) {
        if (running.contains(job)) {
            process(job, work, onDone);
        }
    }

    /** Frees the slot of a job, or removes the job from the queue. */
    public void release(Job job) {
        job.cancelTimer.run();
        if (running.remove(job)) {
            while (running.size() < settings.slots && !queue.isEmpty()) {
                start(queue.poll());
            }
        }
        queue.remove(job);
    }

    /** Drops all jobs without finishing them. */
    public void crash() {
        running.forEach(job -> job.cancelTimer.run());
        running.clear();
        queue.clear();
        forgetOfferedWork();
    }

    private void forgetOfferedWork() {
        offered.clear();
        offeredWork = 0;
    }

    /** Adjusts the stored times when the clock is set back by a number of nanoseconds. */
    void shiftClock(long setBack) {
        startedAt -= setBack;
        forgetOfferedWork();
    }

    /** Restarts the upstream with a slow start, and ends its slowdown and its hanging. */
    public void restart() {
        crash();
        startedAt = timer.now();
        hanging = false;
        slowdown = 1;
    }
}
