package gorsestack.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.admin.AdminServer;
import gorsestack.admin.ExecutedCalls;
import gorsestack.decision.BalancingPolicy;
import gorsestack.decision.LearnedLocality;
import gorsestack.decision.PolicyActions;
import gorsestack.decision.Settings;
import gorsestack.invariant.CloseReason;
import gorsestack.invariant.Invariants;
import gorsestack.invariant.RejectionReason;
import gorsestack.invariant.Rule;
import gorsestack.settings.Limits;
import gorsestack.wire.BufferBudget;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ClientRequestHandler;
import gorsestack.wire.DiscoveryWatch;
import gorsestack.wire.EventLoop;
import gorsestack.wire.LoadReport;
import gorsestack.wire.MalformedMessageException;
import gorsestack.wire.Network;
import gorsestack.wire.Request;
import gorsestack.wire.Response;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Connects clients' calls, discovery and operators with the balancing policy: passes every input to the policy and carries out its actions.
 * Makes no balancing decisions. Used by the server. Owned by the event loop's thread: other threads only call {@link #clients} and
 * {@link #recovery}, and the sockets' thread reads nothing but {@link SendGate}.
 */
public final class CallDispatcher
        implements PolicyActions, ClientRequestHandler, DiscoveryWatch.Listener, AdminServer.Balancer {
    private static final System.Logger LOG = CallTrace.LOG;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final InputClock clock;
    private final BufferBudget bufferBudget;
    private final UpstreamConnectionPool pool;
    private final Random random;
    private final BalancingPolicy policy;
    private final ClientConnectionManager clients;
    private final RecoveryCoordinator recovery;
    private final StartTimes startTimes;
    private final DiscoveryWatch discovery;
    private final ProductTable products;
    private final CallTable calls = new CallTable();
    private final AddressOwners addressOwners = new AddressOwners();
    private final CallTrace trace = new CallTrace();
    private final Invariants invariants = new Invariants();
    private final AttemptRunner attempts;
    private final UpstreamContacts contacts;
    private final CallResponder responder;
    private final CallDeadlines deadlines;
    private final UploadEvents uploads;
    private final MaintenanceControl maintenance;
    private final BalancerStatus status;
    private PeerChannel peerChannel;
    private int callsRejected;
    private boolean ready;
    private boolean shuttingDown;

    /** Follows {@code discovery} from list version {@code index} on. Not ready before {@link #acceptCalls}. Called on the event loop. */
    public CallDispatcher(
            EventLoop eventLoop,
            Limits limits,
            Settings settings,
            long seed,
            Network network,
            InetSocketAddress discovery,
            long index) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.clock = new InputClock(eventLoop);
        this.bufferBudget = new BufferBudget(limits);
        this.pool = new UpstreamConnectionPool(network, limits, eventLoop, bufferBudget);
        this.random = new Random(seed);
        this.clients = new ClientConnectionManager(eventLoop, limits, network, bufferBudget);
        this.discovery = new DiscoveryWatch(network, eventLoop, limits, discovery, index, this);
        this.products = new ProductTable(settings.products());
        this.policy = new BalancingPolicy(
                settings.withShorterRepeatWindows(limits.call().responseMarginNanos()), seed, clock.tick(), this);
        this.startTimes = new StartTimes(settings.rules().slowStartTime());
        this.recovery = new RecoveryCoordinator(eventLoop, limits, policy, this.discovery, this::watchEvent);
        AttemptAuditor auditor =
                new AttemptAuditor(invariants, products, pool, limits.upstream().drainGraceNanos());
        LoadReport loadReports = new LoadReport(settings.reports().columns());
        this.attempts = new AttemptRunner(
                eventLoop, limits, clock, policy, pool, products, calls, this, invariants, auditor, trace, loadReports);
        this.contacts = new UpstreamContacts(eventLoop, policy, attempts);
        pool.setContacts(contacts);
        this.responder = new CallResponder(eventLoop, clock, calls, recovery, invariants, auditor, trace);
        this.deadlines = new CallDeadlines(eventLoop, limits, clock, products, policy, responder, invariants);
        this.uploads = new UploadEvents(calls, deadlines, attempts, policy, clock, settings.clockResolution());
        this.maintenance = new MaintenanceControl(limits, clock, policy, pool, clients);
        this.status = new BalancerStatus(calls, clients, invariants, recovery);
        eventLoop.at(eventLoop.now() + limits.call().sweepIntervalNanos(), this::sweep);
        if (!settings.watchesEndpoints()) {
            // An agent of this balancer pushes the lists. They are complete from the start of this process, while the
            // list of an earlier process may be outdated.
            eventLoop.execute(this::watchEndpoints);
        }
    }

    // Calls from clients.

    @Override
    public void call(ClientConnection client, Request request, long arrivedAt) {
        if (clients.full(calls.awaitingResponse())) {
            callsRejected++;
            invariants.rejected(RejectionReason.NO_ROOM);
            client.respond(Response.own(503, "", "too many connections"));
            return;
        }
        if (!calls.claim(request.id(), products.isIdempotent(request))) {
            invariants.rejected(RejectionReason.SAME_ID);
            client.reject(
                    new MalformedMessageException(409, "a call with this X-Correlation-Id is open or may have run"));
            return;
        }
        ActiveCall call = calls.add(client, request, !products.isIdempotent(request));
        // While the large body of a call is incomplete, its deadline is not set.
        long remaining = request.upload() != null ? Long.MAX_VALUE : deadlines.start(call, arrivedAt);
        recovery.onCall(clock.inputTime(), request.markedAsRetry());
        trace.log(
                "call={0} event=received product={1} remaining_ms={2} connection={3}",
                call.id, request.product(), remaining / 1_000_000, client.number());
        policy.onApiCall(clock.tick(), call.id, request.product(), null, remaining);
    }

    @Override
    public void requestNotReplayable(ClientConnection client) {
        uploads.notReplayable(client);
    }

    @Override
    public void requestHeldBack(ClientConnection client) {
        uploads.heldBack(client);
    }

    @Override
    public void requestBodyComplete(ClientConnection client, long arrivedAt) {
        uploads.complete(client, arrivedAt);
    }

    @Override
    public BufferBudget bufferBudget() {
        return bufferBudget;
    }

    @Override
    public void clientDisconnected(ClientConnection client) {
        ActiveCall call = calls.removeClient(client);
        if (call != null && !call.hasEnded()) {
            call.endDisconnected(eventLoop);
            trace.log("call={0} event=client_disconnected connection={1}", call.id, client.number());
            policy.onClientDisconnected(clock.tick(), call.id);
            attempts.withdrawUnsent(call);
            calls.removeIfFinished(call);
        }
    }

    // Endpoint updates and peers.

    @Override
    public void watchEvent(WatchEvent listed) {
        WatchEvent event = addressOwners.withoutDisplaced(listed);
        recovery.onWatchEvent(event);
        policy.onEndpointUpdate(
                clock.tick(),
                startTimes.onMonotonicClock(
                        event.update(), clock.inputTime(), eventLoop.wallClock(), discovery.confirmedAt()));
        pool.onWatchEvent(event);
        recovery.afterPolicyUpdate(event, clock.inputTime());
    }

    @Override
    public void watchFailed() {
        recovery.onDiscoveryRejection();
    }

    /** Sets the table of executed calls that this process shares with others of the same balancer; called before the first call. */
    public void setExecutedCalls(ExecutedCalls executed) {
        calls.setExecuted(executed);
    }

    /** Sets the channel that carries messages to other balancers; without one none are sent. */
    public void setPeerChannel(PeerChannel channel) {
        peerChannel = channel;
        recovery.setPeerChannel(channel);
    }

    /** Passes on a message from another balancer. */
    public void onPeerMessage(int peer, byte[] message) {
        byte[] loadGossip = peerChannel == null ? null : peerChannel.onMessage(peer, message);
        if (loadGossip != null) {
            policy.onPeerMessage(clock.tick(), loadGossip);
        }
    }

    /** Switches to a new address of discovery. */
    public void moveToDiscovery(InetSocketAddress newAddress) {
        discovery.moveTo(newAddress);
    }

    // Actions of the policy.

    @Override
    public void startAttempt(String apiCall, String upstream, long timeout) {
        attempts.start(calls.byId(apiCall), upstream, timeout);
    }

    @Override
    public void cancelAttempt(String apiCall, int attempt) {
        attempts.cancel(calls.byId(apiCall), attempt);
    }

    @Override
    public void fulfilled(String apiCall, int attempt) {
        responder.fulfilled(calls.byId(apiCall), attempt);
    }

    @Override
    public void rateLimited(String apiCall, long retryAfter) {
        responder.rateLimited(calls.byId(apiCall), retryAfter);
    }

    @Override
    public void errored(String apiCall) {
        responder.errored(calls.byId(apiCall));
    }

    @Override
    public void scheduleTimer(long token, long dueAt) {
        eventLoop.at(dueAt, () -> policy.onTimer(clock.tick(), token));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        if (peerChannel != null) {
            peerChannel.sendLoadGossip(peer, message);
        }
    }

    @Override
    public void closeIdleConnections(String upstream) {
        pool.closeIdle(upstream);
    }

    @Override
    public void watchEndpoints() {
        recovery.watch();
    }

    // Connections of clients, and shutdown.

    @Override
    public void opened(ClientConnection client) {
        clients.opened(client);
    }

    @Override
    public void closed(ClientConnection client) {
        clients.closed(client);
    }

    @Override
    public void ended(ClientConnection client, CloseReason reason, boolean responseIncomplete) {
        invariants.closed(reason);
        trace.log(
                "event=connection_closed connection={0} reason={1} response_incomplete={2}",
                client.number(), reason, responseIncomplete);
        // It is no violation if the client disconnected or does not read its response.
        if (responseIncomplete && reason != CloseReason.CLIENT_GONE && reason != CloseReason.STALLED) {
            invariants.violated(Rule.CLOSE, "", reason.name().toLowerCase(Locale.ROOT));
        }
    }

    @Override
    public boolean ready() {
        return ready && !shuttingDown && !clients.evacuating();
    }

    @Override
    public boolean closing() {
        return clients.closing();
    }

    @Override
    public Settings.Repeat repeat(String product) {
        return products.repeat(product);
    }

    @Override
    public double jitter() {
        return random.nextDouble();
    }

    /** Reports from now on, at /_health and to operators, that calls are accepted. */
    public void acceptCalls() {
        ready = true;
        recovery.onReady();
    }

    /**
     * Begins the shutdown after SIGTERM or SIGINT. Calls are served until {@code callDeadline}; connections stay open until they are closed
     * through {@link #clients}. If another process of this balancer already accepts clients, connections are closed when idle or with their
     * next response.
     */
    public void shutDown(long callDeadline, boolean hasSuccessor) {
        shuttingDown = true;
        attempts.shutDown();
        if (hasSuccessor) {
            maintenance.replaced();
        }
        deadlines.limit(callDeadline);
        calls.forEachOpen(deadlines::applyLimit);
        // Tests of the process search its log for this message.
        LOG.log(System.Logger.Level.INFO, "ending; {0} calls held", calls.awaitingResponse());
    }

    /** Returns the manager of the clients' connections. */
    public ClientConnectionManager clients() {
        return clients;
    }

    /** Returns the coordinator of this balancer's recovery after a restart. */
    public RecoveryCoordinator recovery() {
        return recovery;
    }

    // Operators.

    @Override
    public boolean isListed(String upstream) {
        return pool.isListed(upstream);
    }

    @Override
    public void setMaintenance(String upstream, long endedAt) {
        maintenance.setMaintenance(upstream, endedAt);
    }

    @Override
    public void evacuate(boolean evacuate) {
        clients.evacuate(evacuate);
    }

    /** Adjusts this process's quota to whether another process of this balancer runs and whether it accepts clients. */
    public void shareWithAnotherProcess(boolean otherRuns, boolean otherAccepts) {
        maintenance.shareWithAnotherProcess(otherRuns, otherAccepts, shuttingDown);
    }

    @Override
    public String recoveryPhase() {
        return recovery.phase();
    }

    /** Enables or disables the trace of each step of each call. */
    @Override
    public void trace(boolean enabled) {
        trace.enable(enabled);
    }

    /** Sets the names of the signals that this process inherited as ignored; the status lists none before that. */
    public void ignoredSignals(List<String> names) {
        status.ignoredSignals(names);
    }

    @Override
    public ObjectNode status() {
        return status.document(ready());
    }

    /** Returns the policy's learned state for a later process of this balancer and for its peers. */
    public List<LearnedLocality> exportLearned() {
        return policy.exportLearned();
    }

    /** Replaces the policy's learned state, as a rule by that of an earlier process or of peers. */
    public void restoreLearned(List<LearnedLocality> learned) {
        policy.restoreLearned(clock.tick(), learned);
    }

    /** Runs the periodic tasks. The next run is scheduled first, as a fault in one run would otherwise prevent all later ones. */
    private void sweep() {
        eventLoop.at(eventLoop.now() + limits.call().sweepIntervalNanos(), this::sweep);
        pool.closeExpired();
        contacts.listConfirmed(discovery);
        clients.sweep();
        attempts.logWithoutConnection(callsRejected);
        callsRejected = 0;
        attempts.closeIdleToSilentUpstreams();
    }
}
