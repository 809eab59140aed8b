package gorsestack.lab.standin;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Models the capacity of an upstream: slots that process jobs, a queue for the jobs that wait for a slot, and a speed that grows during the
 * slow start. Reports an overload if too much work is offered during the slow start. It does no I/O and reads the time from a {@link
 * Timer}. Used by {@link Upstream} and its connections on the event loop.
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
     * The parameters of an upstream. Its capacity grows linearly during the slow start. During this time it is overloaded if the work
     * offered within the overload window exceeds a multiple of the work that it could do in a whole window at its present capacity.
     *
     * @param speed milliseconds of work that a slot does in a millisecond at full capacity
     * @param slots number of jobs that are processed at the same time
     * @param maxQueue maximum number of jobs that wait for a slot
     * @param slowStartSeconds duration of the slow start
     * @param initialCapacity fraction of the full capacity that is available when the upstream starts
     * @param overloadWindowSeconds length of the overload window
     * @param overloadFactor multiple of the capacity above which the offered work is an overload
     */
    public record Settings(
            double speed,
            int slots,
            int maxQueue,
            double slowStartSeconds,
            double initialCapacity,
            double overloadWindowSeconds,
            double overloadFactor) {}

    /**
     * An overload during the slow start.
     *
     * @param offeredMs work that was offered within the overload window, in milliseconds of work
     * @param capacityMs work that the present capacity does in a whole overload window, in milliseconds of work
     */
    public record Overload(double offeredMs, double capacityMs) {}

    /** The work of one request, which occupies a slot or waits in the queue. */
    public static final class Job {
        private final Consumer<Job> onDone;
        /** The work in milliseconds at a speed of 1. */
        private final double workMs;

        private Runnable cancelTimer = () -> {};
        private boolean started;
        /** Begins or completes work that had to wait for the end of a hang; null if there is none. */
        private Runnable resume;

        Job(double workMs, Consumer<Job> onDone) {
            this.workMs = workMs;
            this.onDone = onDone;
        }

        /** Returns whether the job has ever been given a slot; remains true after its release. */
        public boolean running() {
            return started;
        }
    }

    /** Work that arrived at a time, whether it was accepted or not. */
    private record OfferedWork(long offeredAt, double workMs) {}

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
    private double offeredWorkMs;

    private long startedAt;
    private double slowdown = 1;
    private boolean hanging;

    /**
     * Creates the model of an upstream.
     *
     * @param warm whether the slow start is already over; otherwise it begins now
     * @param onOverload called for each job that is offered while the upstream is overloaded
     */
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

    /** Sets the factor by which the duration of all work that begins from now on is multiplied. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /**
     * Begins or ends a hang. While it lasts, no work begins and none completes. The time of a hang counts for work in progress, which
     * completes when the hang ends if it would have completed during it.
     */
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

    /**
     * Gives a job a slot or, if all are taken, a place in the queue. Returns null if the queue is full too; the work counts as offered all
     * the same. Calls {@code onDone} when the work is done; the job then keeps its slot until it is released.
     */
    public Job accept(double workMs, Consumer<Job> onDone) {
        recordOfferedWork(workMs);
        Job job = new Job(workMs, onDone);
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

    private void recordOfferedWork(double workMs) {
        long now = timer.now();
        offered.add(new OfferedWork(now, workMs));
        offeredWorkMs += workMs;
        while (offered.peek().offeredAt <= now - windowNanos) {
            offeredWorkMs -= offered.poll().workMs;
        }
        double capacity = settings.slots * settings.speed * availableFraction() * windowNanos / NANOS_PER_MS;
        if (availableFraction() < 1 && offeredWorkMs > settings.overloadFactor * capacity) {
            onOverload.accept(new Overload(offeredWorkMs, capacity));
        }
    }

    private void start(Job job) {
        job.started = true;
        running.add(job);
        process(job, job.workMs, job.onDone);
    }

    private void process(Job job, double workMs, Consumer<Job> onDone) {
        if (hanging) {
            job.resume = () -> process(job, workMs, onDone);
            return;
        }
        long duration = (long) (workMs * NANOS_PER_MS * slowdown / (settings.speed * availableFraction()));
        job.cancelTimer = timer.after(duration, () -> {
            if (hanging) {
                job.resume = () -> onDone.accept(job);
            } else {
                onDone.accept(job);
            }
        });
    }

    /** Does more work in the slot of a job; does nothing if the job no longer has one. */
    public void addWork(Job job, double workMs, Consumer<Job> onDone) {
        if (running.contains(job)) {
            process(job, workMs, onDone);
        }
    }

    /** Cancels the work of a job. Frees its slot for the next job in the queue, or removes it from the queue. */
    public void release(Job job) {
        job.cancelTimer.run();
        if (running.remove(job)) {
            while (running.size() < settings.slots && !queue.isEmpty()) {
                start(queue.poll());
            }
        }
        queue.remove(job);
    }

    /** Drops all jobs without finishing them, and forgets the offered work. */
    public void crash() {
        running.forEach(job -> job.cancelTimer.run());
        running.clear();
        queue.clear();
        forgetOfferedWork();
    }

    private void forgetOfferedWork() {
        offered.clear();
        offeredWorkMs = 0;
    }

    /**
     * Moves the start time when the clock is set back by a number of nanoseconds, so that the slow start goes on. Forgets the offered work.
     */
    void shiftClock(long setBack) {
        startedAt -= setBack;
        forgetOfferedWork();
    }

    /** Restarts the upstream without jobs and with a slow start, and ends its slowdown and its hang. */
    public void restart() {
        crash();
        startedAt = timer.now();
        hanging = false;
        slowdown = 1;
    }
}
