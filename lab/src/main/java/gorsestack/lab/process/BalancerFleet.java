package gorsestack.lab.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.lab.InternalErrors;
import gorsestack.lab.standin.Discovery;
import gorsestack.lab.standin.Testbed;
import gorsestack.lab.verify.Records.ProcessEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Starts, signals and ends all balancer processes of a run. Starts and signals take milliseconds, which would delay the event loop, so a
 * separate thread performs them, in the order of the calls: a restart never overtakes the kill before it. The methods may be called from
 * any thread.
 */
public final class BalancerFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long EXIT_BEFORE_STATE_CHANGE_MS = 5_000;
    private static final long EXIT_AFTER_TERM_NANOS = 6_000_000_000L;
    private static final long STOP_TIMEOUT_SECONDS = 15;

    private interface ProcessTask {
        void run() throws IOException, InterruptedException, ExecutionException;
    }

    /** One process of a balancer; the number counts the starts of the balancer from 1. */
    private record Incarnation(int balancer, int number) {}

    /** The balancers by their numbers. */
    public final List<BalancerProcess> balancers = new ArrayList<>();

    private final Testbed testbed;
    private final Discovery discovery;
    private final BalancerConfig configs;
    private final StateFolders stateFolders;
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "processes");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * The processes whose end was requested; the end of any other process is a crash. The incarnation identifies the process, because the
     * end of a killed process may be noticed when the next one of the same balancer is already running.
     */
    private final Set<Incarnation> endRequested = ConcurrentHashMap.newKeySet();

    /** The number of starts of each balancer so far. */
    private final Map<Integer, Integer> incarnations = new HashMap<>();
    /** The endpoint lists at the time when balancers were ended, for the configuration of their next process. */
    private final Map<Integer, ObjectNode> lastEndpointLists = new HashMap<>();

    /**
     * Creates a fleet without starting it. If the root folder of a previous version is given, every second balancer is of that version;
     * otherwise this parameter is null.
     */
    public BalancerFleet(
            Testbed testbed, Discovery discovery, Path root, String command, Path previousRoot, Path output)
            throws IOException {
        this.testbed = testbed;
        this.discovery = discovery;
        configs = new BalancerConfig(testbed);
        for (int balancer = 0; balancer < testbed.scenario.processes(); balancer++) {
            boolean previous = previousRoot != null && balancer % 2 == 1;
            balancers.add(new BalancerProcess(balancer, previous ? previousRoot : root, command, output));
        }
        stateFolders = new StateFolders(balancers);
    }

    private void submit(ProcessTask task) {
        executor.execute(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException | ExecutionException e) {
                InternalErrors.report(e);
            }
        });
    }

    private void recordEvent(int balancer, String event) {
        testbed.loop.execute(() -> testbed.records.processEvents.add(new ProcessEvent(balancer, event, testbed.now())));
    }

    private ObjectNode currentEndpointList(int balancer) throws InterruptedException, ExecutionException {
        return testbed.loop.submit(() -> discovery.endpointList(balancer)).get();
    }

    private void writeConfig(int balancer, ObjectNode endpointList)
            throws IOException, InterruptedException, ExecutionException {
        int generation = testbed.loop.submit(discovery::generation).get();
        BalancerProcess process = balancers.get(balancer);
        Files.writeString(
                process.config(),
                configs.create(process, endpointList, generation).toPrettyString());
    }

    /**
     * Starts the processes of balancers. The configuration of a balancer that a signal has ended lists the endpoints of that time, or none
     * if the scenario's balancers forget their endpoints. That of any other balancer lists the current endpoints.
     */
    public void start(List<Integer> targets) {
        submit(() -> {
            for (int balancer : targets) {
                writeConfig(balancer, endpointListForStart(balancer));
            }
            for (int balancer : targets) {
                startProcess(balancer);
            }
        });
    }

    private ObjectNode endpointListForStart(int balancer) throws InterruptedException, ExecutionException {
        ObjectNode last = lastEndpointLists.remove(balancer);
        if (last == null) {
            return currentEndpointList(balancer);
        }
        return testbed.scenario.fleet().forgetsEndpoints() ? emptyEndpointList() : last;
    }

    private static ObjectNode emptyEndpointList() {
        ObjectNode list = JSON.createObjectNode().put("index", 0).put("snapshot", true);
        list.putArray("endpoints");
        return list;
    }

    private void startProcess(int balancer) throws IOException {
        Incarnation incarnation = new Incarnation(balancer, incarnations.merge(balancer, 1, Integer::sum));
        recordEvent(balancer, "start");
        balancers.get(balancer).start(exitCode -> {
            boolean requested = endRequested.remove(incarnation);
            recordEvent(balancer, (requested ? "exit " : "crash ") + exitCode);
        });
    }

    /** Sends a signal to balancers: KILL, TERM, STOP, CONT or HUP. For HUP, a new configuration is written first. */
    public void signal(String name, List<Integer> targets) {
        submit(() -> {
            if (name.equals("KILL") || name.equals("TERM")) {
                for (int balancer : targets) {
                    endRequested.add(new Incarnation(balancer, incarnations.getOrDefault(balancer, 0)));
                    lastEndpointLists.put(balancer, currentEndpointList(balancer));
                }
            }
            List<Integer> running = targets.stream()
                    .filter(balancer -> balancers.get(balancer).running())
                    .toList();
            if (name.equals("HUP")) {
                for (int balancer : running) {
                    writeConfig(balancer, currentEndpointList(balancer));
                }
            }
            running.forEach(balancer -> recordEvent(balancer, name.toLowerCase(Locale.ROOT)));
            BalancerProcess.signal(name, running.stream().map(balancers::get).toList());
        });
    }

    /** Waits for the end of processes, and then changes their state folders as {@link StateFolders#change} describes. */
    public void changeState(String change, List<Integer> targets) {
        submit(() -> {
            for (int balancer : targets) {
                balancers.get(balancer).awaitExit(EXIT_BEFORE_STATE_CHANGE_MS);
                stateFolders.change(balancer, change);
            }
        });
    }

    /** Backs up all state folders, for faults that restore older state. */
    public void backUpState() {
        submit(stateFolders::backUp);
    }

    /** Ends all processes by SIGTERM, and kills those that do not end in time. Waits until this is done. */
    @Override
    public void close() {
        List<Integer> numbers =
                balancers.stream().map(process -> process.number).toList();
        signal("CONT", numbers);
        signal("TERM", numbers);
        submit(() -> {
            long deadline = System.nanoTime() + EXIT_AFTER_TERM_NANOS;
            for (BalancerProcess balancer : balancers) {
                if (!balancer.awaitExit(Math.max(1, (deadline - System.nanoTime()) / 1_000_000))) {
                    recordEvent(balancer.number, "killed after term");
                }
            }
            kill();
        });
        executor.shutdown();
        try {
            executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kill();
    }

    /** Kills all processes immediately, without waiting for earlier calls to be performed. */
    public void kill() {
        balancers.forEach(BalancerProcess::kill);
    }
}
