package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests the attempts that the balancer processes of a fleet together send to one upstream that is warming up. The processes
 * decide independently of one another; in any window their sum must not exceed the upstream's budget of N calls by more
 * than 2 sqrt(N) + 2, which allows for random variation. Each scenario, played with many seeds, is another way in which
 * decisions that are right for one process may add up to too much for the fleet.
 */
class ColdFleetTest {
    private static final long MS = 1_000_000;
    private static final double CAPACITY = 10;
    private static final long WINDOW = 1_000 * MS;
    private static final long START = 10_000 * MS;

    enum Scenario {
        /** Calls arrive at a constant rate, and nothing else happens. */
        STEADY,
        /** No calls arrive for three seconds after the start of the cold upstream. */
        PAUSE,
        /** The zone of five upstreams is lost; the cold upstream and one other are in the remaining zone. */
        LOST_ZONE,
        /** Every balancer process restarts three times. */
        RESTARTS,
        /** Some responses are slow and some attempts are rejected, so calls are hedged and retried. */
        HEDGES_AND_RETRIES,
        /** The cold upstream is the only one, and the balancer processes start with it. */
        NEW_FLEET
    }

    /** One balancer process; records each attempt that it sends to the cold upstream. */
    private static final class BalancerProcess implements PolicyActions {
        final World world;
        BalancingPolicy policy;
        int calls;

        BalancerProcess(World world) {
            this.world = world;
        }

        @Override
        public void startAttempt(String apiCall, String upstream, long timeout) {
            if (upstream.equals("cold")) {
                world.sent.add(world.now);
            }
            int number = world.attemptCount++;
            BalancingPolicy sender = policy;
            long latency =
                    world.scenario == Scenario.HEDGES_AND_RETRIES && world.random.nextInt(4) == 0 ? 300 * MS : 20 * MS;
            int attempt = world.nextAttemptNumber(apiCall);
            world.schedule(
                    world.now + latency,
                    () -> sender.onOutcome(
                            world.now,
                            apiCall,
                            attempt,
                            world.scenario == Scenario.HEDGES_AND_RETRIES && number % 10 == 0
                                    ? Outcome.REJECTED
                                    : Outcome.FULFILLED,
                            latency,
                            false));
        }

        @Override
        public void scheduleTimer(long token, long time) {
            BalancingPolicy owner = policy;
            world.schedule(time, () -> owner.onTimer(world.now, token));
        }

        @Override
        public void cancelAttempt(String apiCall, int attempt) {
            BalancingPolicy sender = policy;
            world.schedule(world.now, () -> sender.onOutcome(world.now, apiCall, attempt, Outcome.CANCELLED, 0, true));
        }

        @Override
        public void fulfilled(String apiCall, int attempt) {}

        @Override
        public void rateLimited(String apiCall, long retryAfter) {}

        @Override
        public void errored(String apiCall) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void closeIdleConnections(String upstream) {}

        @Override
        public void watchEndpoints() {}
    }

    /** A fault that a test injects into the policy to show that the measurement detects it. */
    private enum InjectedFault {
        NONE,
        PERMIT_WITHOUT_DRAW
    }

    /** An action that runs at a time; actions of the same time run in the order of their sequence numbers. */
    private record ScheduledAction(long time, long sequence, Runnable action) {}

    /** The simulated time, the scheduled actions, and the attempts that were sent to the cold upstream. */
    private static final class World {
        final Scenario scenario;
        final SplittableRandom random;
        final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
                (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
        final List<Long> sent = new ArrayList<>();
        final java.util.Map<String, Integer> attemptsByCall = new java.util.HashMap<>();
        long now;
        long nextSequence;
        int attemptCount;

        World(Scenario scenario, long seed) {
            this.scenario = scenario;
            random = new SplittableRandom(seed);
        }

        /** Returns the number of the call's next attempt, and counts it. */
        int nextAttemptNumber(String call) {
            return attemptsByCall.merge(call, 1, Integer::sum) - 1;
        }

        void schedule(long time, Runnable action) {
            scheduledActions.add(new ScheduledAction(time, nextSequence++, action));
        }

        void runTo(long time) {
            while (!scheduledActions.isEmpty() && scheduledActions.peek().time <= time) {
                ScheduledAction next = scheduledActions.poll();
                now = Math.max(now, next.time);
                next.action.run();
            }
            now = time;
        }
    }

    /** Returns the largest excess of the attempts in a window over N + 2 sqrt(N) + 2; below 0 if there is none. */
    private static double excess(
            Scenario scenario, int processes, long seed, int configuredInstances, InjectedFault injectedFault) {
        World world = new World(scenario, seed);
        runScenario(world, processes, seed, configuredInstances, injectedFault);
        double capacity = scenario == Scenario.NEW_FLEET ? 2 : CAPACITY;
        double worst = -1e9;
        List<Long> sent = world.sent;
        sent.sort(null);
        for (int i = 0, j = 0; i < sent.size(); i++) {
            while (j < sent.size() && sent.get(j) < sent.get(i) + WINDOW) {
                j++;
            }
            double age = Math.max(0, (sent.get(i) - START) / 20e9);
            double budget = 2.5 * capacity * (0.15 + 0.85 * Math.min(1, age));
            worst = Math.max(worst, j - i - (budget + 2 * Math.sqrt(budget) + 2));
        }
        return worst;
    }

    /** Runs a scenario until eight seconds after the start of the cold upstream. */
    private static void runScenario(
            World world, int processes, long seed, int configuredInstances, InjectedFault injectedFault) {
        Scenario scenario = world.scenario;
        long start = START;
        world.now = start - 3_000 * MS;
        boolean coldInOtherZone = scenario == Scenario.LOST_ZONE;
        boolean newFleet = scenario == Scenario.NEW_FLEET;
        double capacity = newFleet ? 2 : CAPACITY;
        world.now = newFleet ? start : world.now;
        List<BalancerProcess> fleet = new ArrayList<>();
        for (int b = 0; b < processes; b++) {
            BalancerProcess process = new BalancerProcess(world);
            process.policy = new BalancingPolicy(
                    PolicySimulation.settings(configuredInstances, 1, 2, false, Settings.Scope.ALL),
                    seed * 1_000 + b,
                    world.now,
                    process);
            process.policy.onEndpointUpdate(
                    world.now,
                    newFleet
                            ? new EndpointUpdate(
                                    EndpointUpdate.Kind.SNAPSHOT,
                                    List.of(PolicySimulation.entry("cold", EndpointState.READY, start, 0, "a")))
                            : warmUpstreams(coldInOtherZone, false));
            inject(injectedFault, process.policy);
            fleet.add(process);
            // Discovery notifies the processes at different times within a second of the start.
            BalancingPolicy notified = process.policy;
            world.schedule(start + (long) (world.random.nextDouble() * 1_000 * MS), () -> {
                notified.onEndpointUpdate(
                        world.now,
                        new EndpointUpdate(
                                EndpointUpdate.Kind.DELTA,
                                List.of(PolicySimulation.entry(
                                        "cold", EndpointState.READY, start, 0, coldInOtherZone ? "b" : "a"))));
            });
        }
        if (scenario == Scenario.RESTARTS) {
            for (int i = 0; i < 3; i++) {
                int round = i;
                for (int b = 0; b < processes; b++) {
                    BalancerProcess process = fleet.get(b);
                    int number = b;
                    world.schedule(
                            start + (1_500 + 1_000L * i) * MS + (long) (world.random.nextDouble() * 300 * MS), () -> {
                                process.policy = new BalancingPolicy(
                                        PolicySimulation.settings(configuredInstances, 1, 2, false, Settings.Scope.ALL),
                                        seed * 1_000 + number + 500L * (round + 1),
                                        world.now,
                                        process);
                                process.policy.onEndpointUpdate(world.now, warmUpstreams(coldInOtherZone, true));
                                inject(injectedFault, process.policy);
                            });
                }
            }
        }
        // The load is 0.8 of the capacity of six upstreams; after the zone is lost, of the two that remain.
        for (BalancerProcess process : fleet) {
            scheduleCalls(world, process, 0.8 * capacity * 6 / processes, start);
        }
        if (coldInOtherZone) {
            world.schedule(
                    start + 4_000 * MS,
                    () -> fleet.forEach(process -> process.policy.onEndpointUpdate(
                            world.now,
                            new EndpointUpdate(
                                    EndpointUpdate.Kind.DELTA,
                                    java.util.stream.IntStream.range(1, 6)
                                            .mapToObj(
                                                    i -> PolicySimulation.entry("u" + i, EndpointState.GONE, 0, 0, "a"))
                                            .toList()))));
        }
        world.runTo(start + 8_000 * MS);
    }

    /** Injects the fault: a permit that is granted at once and not drawn. */
    private static void inject(InjectedFault injectedFault, BalancingPolicy policy) {
        if (injectedFault == InjectedFault.PERMIT_WITHOUT_DRAW && policy.upstreams.find("cold") != null) {
            policy.upstreams.find("cold").slowStartPermit = true;
        }
    }

    /** Returns a snapshot of the warm upstreams and, if required, the cold one. */
    private static EndpointUpdate warmUpstreams(boolean coldInOtherZone, boolean withCold) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 1; i < 6; i++) {
            entries.add(PolicySimulation.entry("u" + i, EndpointState.READY, 0, 0, "a"));
        }
        if (coldInOtherZone) {
            entries.add(PolicySimulation.entry("b1", EndpointState.READY, 0, 0, "b"));
        }
        if (withCold) {
            entries.add(
                    PolicySimulation.entry("cold", EndpointState.READY, 10_000 * MS, 0, coldInOtherZone ? "b" : "a"));
        }
        return new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, entries);
    }

    /** Schedules the next call of a process at a random time, from which the call after it is scheduled. */
    private static void scheduleCalls(World world, BalancerProcess process, double callsPerSecond, long start) {
        world.schedule(
                world.now + (long) (-StrictMath.log(1 - world.random.nextDouble()) / callsPerSecond * 1e9), () -> {
                    long since = world.now - start;
                    boolean pause = world.scenario == Scenario.PAUSE && since > 0 && since < 3_000 * MS;
                    boolean reduced =
                            world.scenario == Scenario.LOST_ZONE && since > 4_000 * MS && world.random.nextInt(3) > 0;
                    if (!pause && !reduced) {
                        process.policy.onApiCall(
                                world.now, process.hashCode() + "-" + process.calls++, "read", null, 1_000 * MS);
                    }
                    scheduleCalls(world, process, callsPerSecond, start);
                });
    }

    /** Plays a scenario with many seeds; returns the number of seeds with an excess, and the largest excess. */
    private static double[] measureExcess(
            Scenario scenario, int processes, int seeds, int instances, InjectedFault injectedFault) {
        int failedSeeds = 0;
        double worst = -1e9;
        for (int seed = 0; seed < seeds; seed++) {
            double excess = excess(scenario, processes, seed, instances, injectedFault);
            failedSeeds += excess > 0 ? 1 : 0;
            worst = Math.max(worst, excess);
        }
        return new double[] {failedSeeds, worst};
    }

    /**
     * Guards against permits that processes accumulate and use at the same time. In early versions, which stored permits,
     * 2 of 200 seeds exceeded the limit by 0.7 of a call when a zone was lost with 30 processes.
     */
    @Test
    void allProcessesTogetherStayWithinBudgetOfColdUpstream() {
        for (Scenario scenario : Scenario.values()) {
            for (int processes : new int[] {1, 5, 20, 30, 100}) {
                double[] result = measureExcess(
                        scenario,
                        processes,
                        processes == 20 || processes == 30 ? 1_000 : 200,
                        processes,
                        InjectedFault.NONE);
                assertEquals(
                        0,
                        result[0],
                        scenario + " with " + processes + " processes: largest excess in calls " + result[1]);
            }
        }
    }

    /** Checks that the measurement detects permits without a draw and a rate that is not divided among the processes. */
    @Test
    void detectsPermitWithoutDrawAndRateThatIsNotDivided() {
        for (int processes : new int[] {20, 30}) {
            assertTrue(
                    measureExcess(Scenario.NEW_FLEET, processes, 100, 1, InjectedFault.NONE)[0] > 10,
                    "each process sends as if it were the only one");
            assertTrue(
                    measureExcess(Scenario.NEW_FLEET, processes, 100, processes, InjectedFault.PERMIT_WITHOUT_DRAW)[0]
                            > 10,
                    "permits without a draw");
            assertTrue(
                    measureExcess(Scenario.RESTARTS, processes, 100, processes, InjectedFault.PERMIT_WITHOUT_DRAW)[0]
                            > 10,
                    "permits without a draw after each restart");
        }
    }

    /**
     * The fleet has to use the upstream's budget: an upstream that gets no attempts never warms up, and the others carry
     * its load. A hundred processes that each get one call in two seconds use less of it.
     */
    @Test
    void allProcessesTogetherUseBudgetOfColdUpstream() {
        for (int processes : new int[] {1, 5, 20, 30, 100}) {
            int sent = 0;
            for (int seed = 0; seed < 20; seed++) {
                World world = new World(Scenario.STEADY, seed);
                runScenario(world, processes, seed, processes, InjectedFault.NONE);
                sent += world.sent.size();
            }
            assertTrue(
                    sent >= (processes == 100 ? 30 : 120),
                    processes + " processes sent " + sent + " attempts in 20 runs of 8 s");
        }
    }
}
