package gorsestack.lab.run;

import gorsestack.lab.InternalErrors;
import gorsestack.lab.net.Addresses;
import gorsestack.lab.net.DatagramRelay;
import gorsestack.lab.process.BalancerFleet;
import gorsestack.lab.report.HtmlReport;
import gorsestack.lab.report.RunContext;
import gorsestack.lab.report.RunResult;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.standin.Discovery;
import gorsestack.lab.standin.LoadGenerator;
import gorsestack.lab.standin.Testbed;
import gorsestack.lab.standin.Upstream;
import gorsestack.lab.standin.UpstreamPool;
import gorsestack.lab.verify.Records;
import gorsestack.lab.verify.Records.ClientRequest;
import gorsestack.lab.verify.Records.ProcessEvent;
import gorsestack.lab.verify.Records.SecondSample;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/**
 * One run of a scenario with one seed, from the start of the first process to the verdict. Commands and the soak create a new instance for
 * each run and call it on their own thread; the stand-ins run on an event loop that the run owns.
 */
public final class ScenarioRun {
    /**
     * The settings of a run.
     *
     * @param root the root folder of the repository, which is the working directory of the command
     * @param command the shell command that starts a balancer
     * @param previousRoot the root folder of another version, which every second balancer runs, or null
     * @param version the version of the balancer, for the result
     * @param output the folder for the records, the result and the report
     * @param progress the stream that progress is printed to
     */
    public record Plan(
            Scenario scenario,
            String scenarioText,
            long seed,
            Path root,
            String command,
            Path previousRoot,
            String version,
            Path output,
            PrintStream progress) {}

    private static final long POLL_INTERVAL_MS = 50;
    /** How long the run waits for calls in progress in addition to the completion timeout of the scenario, in seconds. */
    private static final double OPEN_CALLS_GRACE_SECONDS = 4;

    private static final int PROGRESS_INTERVAL_SECONDS = 5;
    /** The state changes that need a backup of the state folders. */
    private static final Set<String> STATES_FROM_BACKUP = Set.of("older", "swapped");

    /** Netty's logger, which runs turn off: the stack trace of a connection that is cut during accept delays the event loop by 10 ms. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private final Plan plan;
    private final Scenario scenario;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final List<DatagramRelay> relays = new ArrayList<>();
    private RunObserver observer = new RunObserver() {};
    private Testbed testbed;
    private LoopDelayMonitor delayMonitor;
    private UpstreamPool upstreams;
    private Discovery discovery;
    private LoadGenerator clients;
    /** The balancers, or null before their creation; also read by the shutdown hook. */
    private volatile BalancerFleet fleet;

    /** Creates a run; {@link #run()} starts it. */
    public ScenarioRun(Plan plan) {
        this.plan = plan;
        scenario = plan.scenario;
    }

    /** Sets the observer of the run, which replaces an earlier one, and returns this run. */
    public ScenarioRun observedBy(RunObserver runObserver) {
        observer = runObserver;
        return this;
    }

    /** Runs a task on the event loop and waits for its result. */
    private <T> T callOnLoop(Callable<T> task) throws InterruptedException {
        try {
            return testbed.loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private void runOnLoop(Runnable task) throws InterruptedException {
        callOnLoop(() -> {
            task.run();
            return null;
        });
    }

    /** Runs the scenario, writes records, result and report to the output folder, and returns the result. */
    public RunResult run() throws IOException, InterruptedException {
        InternalErrors.clear();
        NETTY_LOGGER.setLevel(Level.OFF);
        Files.createDirectories(plan.output);
        Files.writeString(plan.output.resolve(RunResult.SCENARIO_FILE), plan.scenarioText);
        String startedAt = Instant.now().toString();
        Map<String, Object> machine = describeMachine();
        Thread killOnExit = new Thread(this::killFleet);
        Runtime.getRuntime().addShutdownHook(killOnExit);
        String failure = null;
        try (Addresses addresses = Addresses.reserve(Path.of(System.getProperty("java.io.tmpdir")))) {
            testbed = new Testbed(scenario, group.next(), addresses, plan.seed);
            delayMonitor = new LoopDelayMonitor(testbed);
            try {
                failure = run(addresses);
            } finally {
                stopAll();
            }
        } finally {
            Runtime.getRuntime().removeShutdownHook(killOnExit);
        }
        return finish(startedAt, machine, failure);
    }

    private void killFleet() {
        BalancerFleet started = fleet;
        if (started != null) {
            started.kill();
        }
    }

    /** Starts the stand-ins and the balancers and runs the load; returns the reason if the balancers did not start, otherwise null. */
    private String run(Addresses addresses) throws IOException, InterruptedException {
        startStandIns(addresses);
        String failure = startFleet();
        if (failure != null) {
            return failure;
        }
        if (scenario.faults().stream().anyMatch(fault -> STATES_FROM_BACKUP.contains(fault.state()))) {
            fleet.backUpState();
        }
        observer.fleetReady(addresses, fleet);
        runOnLoop(this::startLoad);
        sampleEachSecond();
        runOnLoop(clients::stop);
        awaitOpenCalls();
        delayMonitor.stop();
        observer.beforeStop(fleet);
        return null;
    }

    private void startStandIns(Addresses addresses) throws IOException, InterruptedException {
        runOnLoop(() -> {
            upstreams = new UpstreamPool(testbed);
            discovery = new Discovery(testbed, upstreams);
        });
        fleet = new BalancerFleet(testbed, discovery, plan.root, plan.command, plan.previousRoot, plan.output);
        if (scenario.fleet().peers()) {
            runOnLoop(() -> startRelays(addresses));
        }
    }

    private void startRelays(Addresses addresses) {
        int count = scenario.fleet().balancers();
        for (int first = 0; first < count; first++) {
            for (int second = first + 1; second < count; second++) {
                relays.add(new DatagramRelay(
                        testbed.loop,
                        addresses,
                        first,
                        second,
                        testbed.links.between("n" + first, "n" + second),
                        testbed.random.split(),
                        () -> testbed.datagrams++));
            }
        }
    }

    /** Starts the balancers and waits until all are ready; returns the reason if they are not ready in time, otherwise null. */
    private String startFleet() throws InterruptedException {
        int count = scenario.processes();
        plan.progress.println(scenario.name() + ", seed " + plan.seed + ": starting " + count + " balancers");
        long startedAt = System.nanoTime();
        fleet.start(IntStream.range(0, count).boxed().toList());
        runOnLoop(() -> clients = new LoadGenerator(testbed, this::recordReady));
        while (callOnLoop(clients::ready) < count) {
            if (System.nanoTime() - startedAt > scenario.fleet().readyTimeout() * 1e9) {
                return "start: " + callOnLoop(clients::ready) + " of " + count + " balancers ready after "
                        + scenario.fleet().readyTimeout() + " s, wanted all";
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        plan.progress.printf("  ready after %.1f s%n", (System.nanoTime() - startedAt) / 1e9);
        return null;
    }

    private void recordReady(int balancer) {
        testbed.records.processEvents.add(new ProcessEvent(balancer, "ready", testbed.now()));
    }

    /**
     * Starts the load and schedules the faults. The load begins before the clock reads zero: during this warm-up the code of the lab and of
     * the balancers is compiled, which on a real fleet would have happened long before.
     */
    private void startLoad() {
        Records records = testbed.records;
        records.listCalls.clear();
        records.connectionsOpened.clear();
        List<ProcessEvent> earlierEvents = List.copyOf(records.processEvents);
        long before = testbed.now();
        testbed.startClock((long) (scenario.warmUp() * 1e9));
        long clockShift = before - testbed.now();
        records.processEvents.clear();
        earlierEvents.forEach(event ->
                records.processEvents.add(new ProcessEvent(event.balancer(), event.event(), event.at() - clockShift)));
        delayMonitor.start();
        testbed.at(0, () -> testbed.connectionsOpened = 0);
        new FaultInjector(testbed, upstreams, discovery, clients, fleet, plan.seed).schedule();
        clients.start();
    }

    /** Waits for the end of the measured load, and meanwhile takes a sample each second and prints the progress. */
    private void sampleEachSecond() throws InterruptedException {
        long seconds = Math.round(scenario.seconds());
        for (int second = 1; second <= seconds; second++) {
            long end = (long) (second * 1e9);
            long remaining = callOnLoop(() -> end - testbed.now());
            Thread.sleep(Math.max(0, remaining / 1_000_000));
            int sampledSecond = second - 1;
            runOnLoop(() -> sample(sampledSecond));
            if (second % PROGRESS_INTERVAL_SECONDS == 0) {
                int elapsed = second;
                plan.progress.println("  " + callOnLoop(() -> progress(elapsed)));
            }
        }
    }

    private void sample(int second) {
        int open = upstreams.all.stream().mapToInt(Upstream::connections).sum();
        testbed.records.secondSamples.add(new SecondSample(second, open, testbed.connectionsOpened, testbed.datagrams));
        testbed.connectionsOpened = 0;
    }

    private String progress(int elapsed) {
        long from = (elapsed - PROGRESS_INTERVAL_SECONDS) * 1_000_000_000L;
        List<ClientRequest> endedCalls = testbed.records.clientRequests.stream()
                .filter(request -> request.finalTry() && request.ended() >= from)
                .toList();
        long served = endedCalls.stream()
                .filter(request -> request.outcome().equals("200"))
                .count();
        return String.format(
                "%4d s  %5d calls ended, %.4f served, %d balancers ready",
                elapsed,
                endedCalls.size(),
                endedCalls.isEmpty() ? 1 : served / (double) endedCalls.size(),
                clients.ready());
    }

    private void awaitOpenCalls() throws InterruptedException {
        long deadline = System.nanoTime() + (long) ((scenario.completionTimeout() + OPEN_CALLS_GRACE_SECONDS) * 1e9);
        while (callOnLoop(clients::openCalls) > 0 && System.nanoTime() < deadline) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private void stopAll() throws InterruptedException {
        if (clients != null) {
            runOnLoop(clients::close);
        }
        if (fleet != null) {
            fleet.close();
        }
        runOnLoop(() -> {
            relays.forEach(DatagramRelay::close);
            if (discovery != null) {
                discovery.close();
                upstreams.close();
            }
        });
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).await();
    }

    private RunResult finish(String startedAt, Map<String, Object> machine, String failure) throws IOException {
        Records records = testbed.records;
        records.loopDelays.add(delayMonitor.result());
        machine.put("load at the end", systemLoad());
        machine.put(
                "lab's delay, 99th percentile, ms", records.loopDelays.get(0).p99() / 1000.0);
        records.write(plan.output.resolve(RunResult.RECORDS_FILE));
        String voidReason = InternalErrors.first() == null ? null : "the lab failed: " + InternalErrors.first();
        RunContext context = new RunContext(plan.seed, plan.version, startedAt, machine, failure, voidReason);
        RunResult result = RunResult.of(scenario, records, context);
        result.write(plan.output);
        HtmlReport.write(plan.output, scenario, records, result);
        return result;
    }

    private static Map<String, Object> describeMachine() {
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put("cores", Runtime.getRuntime().availableProcessors());
        machine.put("java", System.getProperty("java.version"));
        machine.put("load at the start", systemLoad());
        return machine;
    }

    private static double systemLoad() {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        return Math.round(load * 100) / 100.0;
    }
}
