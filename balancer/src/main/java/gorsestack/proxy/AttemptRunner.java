package gorsestack.proxy;

import gorsestack.decision.BalancingPolicy;
import gorsestack.decision.Outcome;
import gorsestack.decision.Settings;
import gorsestack.invariant.Invariants;
import gorsestack.invariant.RejectionReason;
import gorsestack.settings.Limits;
import gorsestack.wire.ClientRequestHandler;
import gorsestack.wire.EventLoop;
import gorsestack.wire.LoadReport;
import gorsestack.wire.UpstreamConnection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Starts and cancels attempts as the balancing policy orders, and reports their outcomes to it. Used by {@link CallDispatcher}. Owned by
 * the event loop's thread.
 */
final class AttemptRunner implements UpstreamAttempt.Listener {
    private final EventLoop eventLoop;
    private final Limits limits;
    private final InputClock clock;
    private final BalancingPolicy policy;
    private final UpstreamConnectionPool pool;
    private final ProductTable products;
    private final CallTable calls;
    private final ClientRequestHandler requestHandler;
    private final Invariants invariants;
    private final AttemptAuditor auditor;
    private final CallTrace trace;
    private final LoadReport loadReportParser;
    /** The attempts that were given to a connection and are not finished. */
    private final Set<UpstreamAttempt> inFlight = new LinkedHashSet<>();

    private int attemptsWithoutConnection;
    private boolean shuttingDown;

    // Each of the twelve parameters is a collaborator with a type of its own, and there is one caller.
    AttemptRunner(
            EventLoop eventLoop,
            Limits limits,
            InputClock clock,
            BalancingPolicy policy,
            UpstreamConnectionPool pool,
            ProductTable products,
            CallTable calls,
            ClientRequestHandler requestHandler,
            Invariants invariants,
            AttemptAuditor auditor,
            CallTrace trace,
            LoadReport loadReportParser) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.clock = clock;
        this.policy = policy;
        this.pool = pool;
        this.products = products;
        this.calls = calls;
        this.requestHandler = requestHandler;
        this.invariants = invariants;
        this.auditor = auditor;
        this.trace = trace;
        this.loadReportParser = loadReportParser;
    }

    /** Starts the call's next attempt, which times out after {@code timeout} nanoseconds. */
    void start(ActiveCall call, String upstream, long timeout) {
        long now = clock.inputTime();
        Settings.Repeat repeat = products.repeat(call.request().product());
        long sendBy = repeat == Settings.Repeat.DEDUPLICATED ? retryWindowEnd(call) : Long.MAX_VALUE;
        UpstreamAttempt attempt = new UpstreamAttempt(
                call, upstream, pool.endpoint(upstream), now, now + timeout, sendBy, eventLoop, this);
        countRetry(call);
        call.attemptStarted(attempt);
        if (!call.client.mayBeConnected()) {
            invariants.rejected(RejectionReason.CLIENT_LEFT);
            // Prevents attempts for a client whose disconnect is still queued in the event loop.
            eventLoop.execute(() -> requestHandler.clientDisconnected(call.client));
            eventLoop.execute(() -> attempt.ended(Outcome.NOT_SENT, null));
            return;
        }
        if (attempt.clientUnseen()) {
            invariants.rejected(RejectionReason.CLIENT_UNSEEN);
            eventLoop.execute(() -> attempt.ended(Outcome.NOT_SENT, null));
            return;
        }
        send(attempt, repeat != Settings.Repeat.NON_IDEMPOTENT);
    }

    private void send(UpstreamAttempt attempt, boolean safelyRepeatable) {
        UpstreamConnection connection = pool.take(attempt.upstream, safelyRepeatable);
        trace.log(
                "call={0} event=attempt attempt={1} upstream={2} connection={3}",
                attempt.call.id,
                attempt.number,
                attempt.upstream,
                connection == null ? "none" : connection.connecting() ? "new" : "reused");
        if (connection == null) {
            invariants.rejected(RejectionReason.NO_CONNECTION);
            attemptsWithoutConnection++;
            eventLoop.execute(() -> attempt.ended(Outcome.NOT_SENT, null));
            return;
        }
        inFlight.add(attempt);
        attempt.sendOn(connection);
        if (!attempt.bodyIncomplete()) {
            attempt.scheduleTimeout();
        }
    }

    private void countRetry(ActiveCall call) {
        if (!call.attempts.isEmpty()) {
            UpstreamAttempt previous = call.attempts.get(call.attempts.size() - 1);
            invariants.retried(previous.isFinished() ? previous.outcome().statusKey : "still_out");
        }
    }

    /**
     * Returns the latest time at which a retry may be sent so that the upstream recognises it as a duplicate. The window counts from the
     * decision on the first attempt that may have executed, which is before its execution.
     */
    private long retryWindowEnd(ActiveCall call) {
        return call.attempts.stream()
                .filter(UpstreamAttempt::mayHaveExecuted)
                .findFirst()
                .map(first -> first.startedAt()
                        + products.of(call.request()).repeatWindow()
                        - limits.call().responseMarginNanos())
                .orElse(Long.MAX_VALUE);
    }

    /** Restarts the timeouts of the call's attempts, as its large request body is complete. */
    void restartTimeouts(ActiveCall call, long deadline) {
        for (UpstreamAttempt attempt : call.attempts) {
            attempt.restartTimeout(clock.inputTime(), deadline);
        }
    }

    /** Cancels the attempt with this number. */
    void cancel(ActiveCall call, int number) {
        UpstreamAttempt attempt = call.attempts.get(number);
        // Rule 1: the attempt gives up its connection at once. If the connection were established before the policy
        // is notified, the request would still be sent. The policy is notified once it has finished the current input.
        attempt.closeConnection();
        eventLoop.execute(() ->
                attempt.ended(eventLoop.now() >= attempt.deadline() ? Outcome.TIMED_OUT : Outcome.CANCELLED, null));
    }

    /** Ends the attempts whose requests are not written yet. Without this, they would start work for a client that has disconnected. */
    void withdrawUnsent(ActiveCall call) {
        for (UpstreamAttempt attempt : List.copyOf(call.attempts)) {
            if (attempt.waitsToBeWritten()) {
                attempt.withdraw();
            }
        }
    }

    /**
     * Ends the attempts at an upstream that wait for their connections, if they were decided on for its zone or cell: contact with it was
     * lost, and another process may accept them. Done as a separate task, as the connection that was lost may carry one.
     */
    void withdrawConnecting(String upstream) {
        eventLoop.execute(() -> {
            for (UpstreamAttempt attempt : List.copyOf(inFlight)) {
                if (attempt.upstream.equals(upstream) && isForScope(attempt) && attempt.waitsForConnection()) {
                    invariants.rejected(RejectionReason.MAY_BE_REPLACED);
                    attempt.withdraw();
                }
            }
        });
    }

    private boolean isForScope(UpstreamAttempt attempt) {
        Settings.Product product = products.of(attempt.call.request());
        return product.repeat() == Settings.Repeat.DEDUPLICATED && product.scope() != Settings.Scope.ALL;
    }

    @Override
    public void onFinished(UpstreamAttempt attempt) {
        ActiveCall call = attempt.call;
        inFlight.remove(attempt);
        attempt.cancelTimeout();
        call.attemptFinished();
        trace.log("call={0} event=outcome attempt={1} outcome={2}", call.id, attempt.number, attempt.outcome());
        long now = clock.tick();
        policy.onOutcome(now, call.id, attempt.number, attempt.outcome(), now - attempt.startedAt(), call.hasEnded());
        calls.removeIfFinished(call);
    }

    @Override
    public void onSent(UpstreamAttempt attempt, long firstByteAt) {
        trace.log("call={0} event=written attempt={1}", attempt.call.id, attempt.number);
        auditor.checkSent(attempt, firstByteAt);
    }

    @Override
    public void onLoadReport(UpstreamAttempt attempt, String report) {
        policy.onLoadReport(clock.tick(), attempt.upstream, loadReportParser.row(report));
    }

    @Override
    public void onWithheld(UpstreamAttempt attempt) {
        invariants.rejected(
                attempt.call.client.mayBeConnected() ? RejectionReason.TOO_LATE : RejectionReason.CLIENT_LEFT);
    }

    /** Records that the process ends soon: a long response that has only begun would be cut off by that. */
    void shutDown() {
        shuttingDown = true;
    }

    @Override
    public boolean relaysUnfinishedResponses() {
        return !shuttingDown;
    }

    @Override
    public long clientTimeout(ActiveCall call) {
        return products.clientTimeout(call.request());
    }

    /**
     * Closes idle connections to upstreams from which nothing arrives. The idle connections to a host that is cut off stay open, and each
     * would lose a call; a new connection fails within the connect timeout, which proves that nothing was executed.
     */
    void closeIdleToSilentUpstreams() {
        long now = eventLoop.now();
        for (UpstreamAttempt attempt : inFlight) {
            if (attempt.deadline() < Long.MAX_VALUE
                    && now - attempt.startedAt() > limits.upstream().silenceThresholdNanos()
                    && !pool.receivedSince(attempt.upstream, attempt.startedAt())) {
                pool.closeIdle(attempt.upstream);
            }
        }
    }

    /** Logs how many attempts had no connection, and how many calls were rejected for that reason, since the last call; none if 0. */
    void logWithoutConnection(int callsRejected) {
        if (attemptsWithoutConnection + callsRejected > 0) {
            CallTrace.LOG.log(
                    System.Logger.Level.WARNING,
                    "connections_exhausted attempts_not_sent={0} calls_rejected={1}",
                    attemptsWithoutConnection,
                    callsRejected);
            attemptsWithoutConnection = 0;
        }
    }
}
