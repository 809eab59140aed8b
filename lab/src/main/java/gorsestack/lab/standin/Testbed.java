package gorsestack.lab.standin;

import gorsestack.lab.InternalErrors;
import gorsestack.lab.net.Addresses;
import gorsestack.lab.net.LinkRegistry;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.verify.Records;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Holds what all stand-ins of a run share: the clock, the event loop, the links, the random numbers and the records. Apart from its
 * immutable fields it is confined to the event loop.
 */
public final class Testbed implements CapacityModel.Timer {
    public final Scenario scenario;
    public final EventLoop loop;
    public final Addresses addresses;
    public final LinkRegistry links = new LinkRegistry();
    public final Records records = new Records();
    public final SplittableRandom random;

    /** The number of datagrams that balancers have sent to each other so far. */
    public long datagrams;
    /** The number of connections opened to upstreams in the current second. */
    public int connectionsOpened;

    /** The ids of the requests that have reached an upstream. */
    final Set<String> idsSeenUpstream = new HashSet<>();

    private final List<LongConsumer> clockShiftListeners = new ArrayList<>();
    /** The time of System.nanoTime at which the clock reads zero. */
    private long startNanos = System.nanoTime();

    /** Creates a testbed whose clock starts at zero. All random numbers of the stand-ins derive from the seed. */
    public Testbed(Scenario scenario, EventLoop loop, Addresses addresses, long seed) {
        this.scenario = scenario;
        this.loop = loop;
        this.addresses = addresses;
        random = new SplittableRandom(seed);
    }

    /** Sets the clock so that it reads zero after the warm-up. The times of the warm-up are negative. */
    public void startClock(long warmUpNanos) {
        long before = now();
        startNanos = System.nanoTime() + warmUpNanos;
        long setBack = before - now();
        clockShiftListeners.forEach(listener -> listener.accept(setBack));
    }

    /**
     * Registers a listener that is called with the nanoseconds by which the clock is set back, so that it adjusts the times it has stored.
     */
    void onClockShift(LongConsumer listener) {
        clockShiftListeners.add(listener);
    }

    @Override
    public long now() {
        return System.nanoTime() - startNanos;
    }

    @Override
    public Runnable after(long nanos, Runnable task) {
        ScheduledFuture<?> scheduled =
                loop.schedule(() -> runReportingErrors(task), Math.max(0, nanos), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }

    private static void runReportingErrors(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            InternalErrors.report(e);
        }
    }

    /** Schedules a task for a time of the clock. The returned task cancels it. */
    public Runnable at(long time, Runnable task) {
        return after(time - now(), task);
    }

    /** Returns the zone of the balancer or upstream with a number. Both are assigned to the zones in round-robin order. */
    public String zone(int number) {
        return scenario.zones().get(number % scenario.zones().size());
    }
}
