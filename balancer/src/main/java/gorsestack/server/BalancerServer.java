package gorsestack.server;

import gorsestack.admin.AdminServer;
import gorsestack.admin.ExecutedCalls;
import gorsestack.admin.Handover;
import gorsestack.decision.LearnedLocality;
import gorsestack.proxy.CallDispatcher;
import gorsestack.proxy.EventLoopThread;
import gorsestack.recovery.ClockOrigin;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.RecoveryProgress;
import gorsestack.recovery.RestartStormDetector;
import gorsestack.recovery.RestorePolicy;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.EventLoop;
import gorsestack.wire.MinaNetwork;
import gorsestack.wire.Network;
import gorsestack.wire.WatchEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

/**
 * Assembles one balancer process on sockets and brings it into service, for the command line. {@link ConfigurationReloader} handles SIGHUP,
 * {@link GracefulShutdown} handles SIGTERM and SIGINT.
 *
 * <p>Threads: constructed and started on the main thread. The dispatcher, the maintenance orders and the peer exchange belong to the
 * event loop's thread; the other fields are written before any task that reads them is passed to the event loop.
 */
public final class BalancerServer {
    private static final System.Logger LOG = System.getLogger("gorsestack.service");
    /** Connections accepted beyond the admin listener's limit while the oldest ones are being closed. */
    private static final int SPARE_ADMIN_CONNECTIONS = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SignalHandlers signals = new SignalHandlers();
    private final long startedAt = System.nanoTime();
    private final EventLoop eventLoop = new EventLoopThread();
    private final StartGate gate = new StartGate();
    private final ConfigurationReloader reloader;
    private final GracefulShutdown shutdown;
    private final Configuration configuration;
    private final Network network;
    private CallDispatcher calls;
    private AdminServer adminServer;
    private Handover handover;
    /** Whether another process of this balancer was running when this one started. */
    private boolean predecessorRunning;
    /** Maintenance orders by upstream name; accessed on the event loop's thread only. */
    private Map<String, PersistentState.MaintenanceOrder> maintenanceOrders = Map.of();
    /** The peer exchange; null before it starts and if no peers are configured. Accessed on the event loop's thread only. */
    private PeerExchange peerExchange;

    private BalancerServer(Path file) throws IOException {
        reloader = new ConfigurationReloader(file, eventLoop, gate);
        shutdown = new GracefulShutdown(eventLoop, gate);
        reloader.handleSignal(signals);
        shutdown.handleSignals(signals);
        configuration = reloader.readInitial();
        // Nothing is logged before the configuration is read, so that a start with an invalid one prints a single line.
        logStage("configuration");
        signals.logIgnored();
        reloader.watchFileIfSignalIgnored();
        network = new MinaNetwork(configuration.limits(), eventLoop, configuration.mgmt() != null);
    }

    /**
     * Starts a balancer and returns once it is ready; the balancer keeps running on its own threads.
     *
     * @param file the configuration file
     * @throws IOException if the configuration is invalid or an address cannot be bound
     */
    public static void start(Path file) throws IOException {
        new BalancerServer(file).start();
    }

    /** Runs the steps of the start in order and logs its main stages, so that the log of a failed start shows how far it came. */
    private void start() throws IOException {
        RestorePolicy.Restored restored = configuration.state() == null ? null : restoreState();
        calls = createDispatcher(restored);
        if (restored != null) {
            trackRecovery();
        }
        if (restored != null || !configuration.peers().isEmpty()) {
            throttleRestartStorm();
        }
        loadEndpoints(restored);
        if (configuration.mgmt() != null || restored != null) {
            startAdmin(restored);
        }
        if (!configuration.peers().isEmpty()) {
            startPeerExchange(restored);
        }
        eventLoop.execute(() -> calls.ignoredSignals(signals.ignored()));
        reloader.setDispatcher(calls);
        shutdown.setBalancer(configuration.limits(), network, calls, handover);
        gate.open();
        logStage("balancer");
        listenAndWarmUp();
        if (handover != null) {
            handover.startAccepting();
        }
        eventLoop.execute(calls::acceptCalls);
        LOG.log(System.Logger.Level.INFO, "{0} is ready on {1}", configuration.name(), configuration.listen());
    }

    private void logStage(String stage) {
        LOG.log(
                System.Logger.Level.INFO,
                "start stage={0} after_ms={1}",
                stage,
                (System.nanoTime() - startedAt) / NANOS_PER_MILLI);
    }

    /** Loads the state that an earlier process persisted, as far as it is still valid; an unusable folder is treated as empty. */
    private RestorePolicy.Restored restoreState() {
        try {
            Files.createDirectories(configuration.state());
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "state folder cannot be created, so state is not persisted: {0}",
                    e.toString());
        }
        RestorePolicy.Restored restored = RestorePolicy.of(
                Handover.store(configuration.state(), instanceName(), true, ClockOrigin.ofThisProcess(eventLoop.now()))
                        .load(),
                instanceName(),
                eventLoop.now(),
                WatchEvent.text(configuration.discovery()),
                configuration.known().index(),
                configuration.settings().rules().slowStartTime());
        restored.rejections().forEach(warning -> LOG.log(System.Logger.Level.WARNING, "{0}", warning));
        LOG.log(
                System.Logger.Level.INFO,
                "incarnation {0}; restored {1}, {2} maintenance orders and the learned state of {3} localities",
                Long.toString(restored.incarnation()),
                restored.endpointSnapshot() == null
                        ? "no endpoint list"
                        : "an endpoint list of "
                                + restored.endpointSnapshot().members().size() + " upstreams, confirmed "
                                + (eventLoop.now() - restored.endpointSnapshot().confirmed()) / NANOS_PER_MILLI
                                + " ms ago",
                restored.maintenanceOrders().size(),
                restored.learned().size());
        return restored;
    }

    /** Returns the key that identifies this balancer among others whose state is in the same folder. */
    private String instanceName() {
        return configuration.name() + configuration.listen();
    }

    private static boolean hasEndpoints(RestorePolicy.Restored restored) {
        return restored != null && restored.endpointSnapshot() != null;
    }

    private CallDispatcher createDispatcher(RestorePolicy.Restored restored) throws IOException {
        long index = hasEndpoints(restored)
                ? restored.endpointSnapshot().index()
                : configuration.known().index();
        return onEventLoop(() -> new CallDispatcher(
                eventLoop,
                configuration.limits(),
                configuration.settings(),
                configuration.seed(),
                network,
                configuration.discovery(),
                index));
    }

    /**
     * Creates an object that belongs to the event loop on the event loop's thread. Prevents timers that a constructor sets from running on
     * that thread before the object is complete; the first poll for endpoints was once lost that way.
     */
    private <T> T onEventLoop(Callable<T> constructor) throws IOException {
        FutureTask<T> task = new FutureTask<>(constructor);
        eventLoop.execute(task);
        try {
            return task.get();
        } catch (ExecutionException e) {
            throw new IOException("cannot start: " + e.getCause(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    private void trackRecovery() {
        calls.recovery().cacheList();
        long recoveryStartedAt = eventLoop.now();
        long listDeadlineNanos = configuration.settings().rules().watchDeadline();
        eventLoop.execute(() -> calls.recovery()
                .trackRecovery(new RecoveryProgress(
                        recoveryStartedAt,
                        listDeadlineNanos,
                        configuration.settings().rules().slowStartTime(),
                        (step, reason) -> LOG.log(
                                System.Logger.Level.INFO,
                                "recovery step={0} after_ms={1} reason=\"{2}\"",
                                step,
                                (eventLoop.now() - recoveryStartedAt) / NANOS_PER_MILLI,
                                reason))));
    }

    /** Spreads the retries that clients are advised to make out over more time while many balancers of the fleet start at once. */
    private void throttleRestartStorm() {
        long listDeadlineNanos = configuration.settings().rules().watchDeadline();
        RestartStormDetector restartStormDetector = new RestartStormDetector(eventLoop.now(), listDeadlineNanos);
        long throttledUntil = eventLoop.now() + listDeadlineNanos;
        eventLoop.execute(() -> calls.recovery().throttleRestartStorm(restartStormDetector, throttledUntil));
    }

    private void loadEndpoints(RestorePolicy.Restored restored) {
        if (!hasEndpoints(restored)) {
            eventLoop.execute(() -> calls.watchEvent(configuration.known()));
            return;
        }
        // The deadline for endpoint updates is counted from the time the list was last confirmed, not from this start.
        long listDeadlineNanos = configuration.settings().rules().watchDeadline();
        long pollDeadline = restored.endpointSnapshot().confirmed()
                + listDeadlineNanos
                - configuration.limits().discovery().reconnectJitterNanos();
        eventLoop.execute(() -> calls.recovery()
                .restore(
                        restored.endpointSnapshot(),
                        RestorePolicy.listRequestTime(
                                eventLoop.now(),
                                pollDeadline,
                                listDeadlineNanos,
                                configuration.settings().instances(),
                                calls.jitter()),
                        restored.learned()));
    }

    /** Starts the admin listener and the handover between processes of this balancer. */
    private void startAdmin(RestorePolicy.Restored restored) throws IOException {
        adminServer = new AdminServer(configuration.limits(), eventLoop, calls);
        Path temporary = Path.of(System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir")));
        Path folder = restored == null ? temporary : configuration.state();
        ExecutedCalls executed = Handover.executedCalls(folder, instanceName());
        eventLoop.execute(() -> calls.setExecutedCalls(executed));
        handover = new Handover(folder, instanceName(), restored != null, eventLoop, new HandoverListener());
        predecessorRunning = handover.hasPredecessor();
        if (predecessorRunning) {
            eventLoop.execute(() -> splitCapacity(true, true));
        }
        if (restored != null && !predecessorRunning && !restored.learned().isEmpty()) {
            eventLoop.execute(() -> calls.restoreLearned(restored.learned()));
        }
        adminServer.storeOrdersIn(handover);
        if (configuration.mgmt() != null) {
            int maxConnections = configuration.limits().admin().maxConnections() + SPARE_ADMIN_CONNECTIONS;
            network.listenSeparately(configuration.mgmt(), maxConnections, adminServer::newConnection);
        }
        handover.start();
        if (restored != null) {
            handover.startSnapshots(restored.incarnation());
            adminServer.incarnation(restored.incarnation());
        }
    }

    private void startPeerExchange(RestorePolicy.Restored restored) throws IOException {
        long incarnation = restored != null ? restored.incarnation() : Math.max(eventLoop.now() / NANOS_PER_MILLI, 1);
        PeerExchange exchange = new PeerExchange(
                configuration.peers(),
                eventLoop,
                calls,
                configuration.limits(),
                handover,
                restored == null || restored.ordersMayBeLost(),
                this::changeIncarnation,
                configuration.settings());
        eventLoop.execute(() -> {
            exchange.startRecovery(
                    configuration.settings(),
                    incarnation,
                    !predecessorRunning
                            && (restored == null || restored.learned().isEmpty()),
                    configuration.seed());
            calls.setPeerChannel(exchange);
            peerExchange = exchange;
            if (!maintenanceOrders.isEmpty()) {
                exchange.replicateOrders(maintenanceOrders);
            }
        });
    }

    private void changeIncarnation(long incarnation) {
        if (adminServer != null) {
            handover.raiseIncarnation(incarnation);
            adminServer.incarnation(incarnation);
        }
    }

    /**
     * Opens the client listener and warms the JVM up. If another process of this balancer still listens, the warm-up comes first, because
     * the system distributes new connections between both processes as soon as this one listens, although it is still slow.
     */
    private void listenAndWarmUp() throws IOException {
        long warmUpNanos = configuration.limits().call().warmUpNanos();
        if (!predecessorRunning) {
            listen();
        }
        logStage("listening");
        JvmWarmUp.exerciseCalls(configuration.limits(), configuration.settings(), warmUpNanos);
        InetSocketAddress ownAddress = predecessorRunning ? configuration.mgmt() : configuration.listen();
        JvmWarmUp.exerciseSockets(network, eventLoop, ownAddress, warmUpNanos);
        logStage("warm");
        if (predecessorRunning) {
            listen();
        }
    }

    private void listen() throws IOException {
        network.listen(configuration.listen(), () -> new ClientConnection(configuration.limits(), eventLoop, calls));
    }

    /**
     * Adjusts limits depending on whether another process of this balancer is running; called on the event loop's thread.
     *
     * @param accepting whether the other process accepts client connections
     */
    private void splitCapacity(boolean otherRunning, boolean accepting) {
        calls.shareWithAnotherProcess(otherRunning, accepting);
        network.setMaxConnections(configuration.limits().client().maxAccepted() / (otherRunning ? 2 : 1));
    }

    /**
     * Applies maintenance orders, and the state of other processes of this balancer, and provides the state of this process; on the event
     * loop's thread.
     */
    private final class HandoverListener implements Handover.Listener {
        @Override
        public void onMaintenanceOrder(String upstream, long endedAt) {
            adminServer.applyOrder(upstream, endedAt);
        }

        @Override
        public void ordersChanged(Map<String, PersistentState.MaintenanceOrder> orders) {
            maintenanceOrders = orders;
            if (peerExchange != null) {
                peerExchange.replicateOrders(orders);
            }
        }

        @Override
        public PersistentState.EndpointSnapshot endpointSnapshot() {
            return calls.recovery().endpointSnapshot();
        }

        @Override
        public void otherProcessChanged(boolean otherRuns, boolean otherAccepts) {
            splitCapacity(otherRuns, otherAccepts);
        }

        @Override
        public List<LearnedLocality> exportLearned() {
            return calls.exportLearned();
        }

        @Override
        public void restoreLearned(List<LearnedLocality> learned) {
            calls.restoreLearned(learned);
        }
    }
}
