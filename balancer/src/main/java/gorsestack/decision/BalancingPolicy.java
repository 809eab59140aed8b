package gorsestack.decision;

import gorsestack.decision.Settings.Product;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Makes all decisions of one balancer. Its adapter (the proxy or the simulator) reports each event through the public methods, with the
 * time in nanoseconds of a clock that never goes back; the policy acts through {@link PolicyActions} before the method returns. It knows no
 * protocol, does no I/O and is not thread-safe: the adapter calls all methods on one thread. For each call that an event affects, the rules
 * below are tried in order until none applies. Each mechanism is a separate class with its own state. See docs/design.md.
 */
public final class BalancingPolicy {
    /** Number of the exempt attempt when every attempt of a call is to be cancelled. */
    private static final int NO_ATTEMPT = -1;

    /** Number of positions from which a locality's rotation may start; the position is drawn at random. */
    private static final double ROTATION_STARTS = 1 << 20;
    /** Clock steps between a call's deadline and the client's timeout. */
    private static final int DEADLINE_MARGIN_STEPS = 2;
    /** The upstream of an attempt is checked for responses after the latency objective divided by this number. */
    private static final int RESPONSE_CHECKS_PER_SLO = 2;

    private record Rule(Predicate<CallState> applies, Consumer<CallState> action) {}

    private final Settings settings;
    private final PolicyActions actions;
    private final Map<String, Product> products = new HashMap<>();
    private final Map<String, CallState> calls = new HashMap<>();
    private final Map<Long, CallState> callsByTimer = new HashMap<>();
    private final FleetQuota fleetQuota;

    final UpstreamTable upstreams = new UpstreamTable();
    /** This balancer's zone, then the other zones in the order of the settings, then upstreams of unknown zones. */
    private final Locality[] localities;

    private final UpstreamIdentities identities;
    private final EndpointWatchSchedule watchSchedule;
    private final FleetMembership membership;
    private final HedgingPolicy hedging;
    private final RetryBudget retryBudget = new RetryBudget();
    private final OutlierDetector outliers;
    private final AdmissionControl admission;
    private final OutcomeLearning learning;
    private final LoadReports reports;
    private final UpstreamSelector selector;

    private long now;
    private long lastTimerToken = EndpointWatchSchedule.TIMER_TOKEN;

    /** Rules of a call by precedence. Rule 1: a call gets exactly one final response before the client's timeout, and nothing after it. */
    private final Rule[] rules = {
        new Rule(this::isPastDeadline, this::giveUp),
        new Rule(this::isResponseCheckDue, this::checkResponse),
        new Rule(this::hasNoAttemptLeft, this::giveUp),
        new Rule(this::isAttemptDue, this::startNextAttempt),
    };

    /** Creates a balancer's policy; the same seed and inputs always give the same decisions. */
    public BalancingPolicy(Settings settings, long seed, long now, PolicyActions adapter) {
        this.settings = settings;
        this.now = now;
        actions = adapter;
        fleetQuota = new FleetQuota(settings);
        SeededRandom random = new SeededRandom(seed);
        for (Product product : settings.products()) {
            products.put(product.name(), product);
        }
        localities = new Locality[settings.zones().size() + 1];
        for (int i = 0; i < localities.length; i++) {
            localities[i] = new Locality(i, settings.rules().slowStartTime());
            localities[i].rotationCursor = (int) (random.next() * ROTATION_STARTS);
        }
        watchSchedule = new EndpointWatchSchedule(settings.rules(), random, actions);
        SlowStart slowStart = new SlowStart(settings.rules(), fleetQuota, upstreams, localities, random);
        outliers = new OutlierDetector(fleetQuota, upstreams, slowStart, random);
        membership = new FleetMembership(settings, fleetQuota, upstreams, localities, outliers, random);
        hedging = new HedgingPolicy(settings.limits());
        admission = new AdmissionControl(settings, fleetQuota, localities, random);
        reports = new LoadReports(settings, upstreams, outliers, random, actions);
        LatencyEstimator latencies = new LatencyEstimator(settings.usesReports());
        learning = new OutcomeLearning(outliers, retryBudget, reports, latencies);
        identities = new UpstreamIdentities(upstreams, settings.rules());
        selector = new UpstreamSelector(
                settings, fleetQuota, localities, admission, outliers, slowStart, random, reports.meanSlo());
        if (settings.watchesEndpoints()) {
            watchSchedule.scheduleFirst(now);
        }
    }

    /** Applies the endpoint list or a change of it, or schedules a retry after its watch has failed. */
    public void onEndpointUpdate(long currentTime, EndpointUpdate update) {
        now = currentTime;
        if (update.kind() == EndpointUpdate.Kind.FAILED) {
            watchSchedule.scheduleRetry(now);
        } else {
            membership.apply(update, now);
        }
    }

    /**
     * Applies an operator's maintenance order: the upstream is in maintenance, whatever discovery reports, if {@code endedAt} is
     * Long.MAX_VALUE; else its maintenance ended at that time, from which it warms up.
     */
    public void setMaintenance(long currentTime, String id, long endedAt) {
        now = currentTime;
        membership.setMaintenance(id, endedAt, now);
    }

    /** Sets this process's fraction of the balancer's budgets: 1, or less while another of its processes runs in an upgrade. */
    public void setQuota(long currentTime, double quota) {
        now = currentTime;
        membership.setProcessQuota(quota, now);
    }

    /** Sets how far retry delays advised to clients are spread; with 1 they are up to five times as long as with 0. */
    public void setRetryAfterJitter(double jitter) {
        admission.setRetryAfterJitter(jitter);
    }

    /** Returns what this process has learned, for its successor and for peers, which would otherwise reject calls for some seconds. */
    public List<LearnedLocality> exportLearned() {
        return Arrays.stream(localities)
                .map(locality -> locality.exportLearned(now))
                .toList();
    }

    /** Replaces the state of the localities by what another process of this balancer, or its peers, have learned. */
    public void restoreLearned(long currentTime, List<LearnedLocality> learned) {
        now = currentTime;
        for (int i = 0; i < Math.min(learned.size(), localities.length); i++) {
            localities[i].restoreLearned(learned.get(i), now, fleetQuota.processQuota);
        }
    }

    /** Handles a client's call; the time until its timeout is below 0 if unknown, Long.MAX_VALUE while its body is still arriving. */
    public void onApiCall(long currentTime, String id, String product, String tenant, long remainingTime) {
        now = currentTime;
        CallState call = new CallState(id, ++lastTimerToken, products.get(product));
        if (call.product == null) {
            actions.errored(id);
            return;
        }
        call.bodyIncomplete = remainingTime == Long.MAX_VALUE;
        call.deadline = call.bodyIncomplete
                ? remainingTime
                : deadlineAfter(remainingTime < 0 ? call.product.clientTimeout() : remainingTime);
        hedging.plan(call, now);
        // A late response without value would only delay calls that can still be in time. Applies to calls that nobody
        // repeats.
        if (!call.bodyIncomplete
                && call.product.lateBilledValue() <= 0
                && call.product.repeat() == Settings.Repeat.NON_IDEMPOTENT) {
            call.deadline = Math.min(call.deadline, now + call.product.slo());
        }
        selector.onCall(now);
        calls.put(id, call);
        callsByTimer.put(call.timerToken, call);
        applyRules(call);
    }

    /** Returns a time shortly before the client's timeout, as the clock moves in steps and the response must arrive before it. */
    private long deadlineAfter(long remainingTime) {
        return now + remainingTime - DEADLINE_MARGIN_STEPS * settings.clockResolution();
    }

    /**
     * Handles progress of an incomplete request body: the body can no longer be sent again, and it is complete if the remaining time is
     * 0 or more. An upstream starts its work at the last byte; until then the attempt must neither use up capacity nor count as slow.
     */
    public void onRequestBody(long currentTime, String id, long remainingTime) {
        now = currentTime;
        CallState call = calls.get(id);
        if (call == null || call.completed) {
            return;
        }
        call.notReplayable = true;
        applyRules(call);
        if (remainingTime >= 0 && !call.completed) {
            onBodyComplete(call, remainingTime);
            applyRules(call);
        }
    }

    private void onBodyComplete(CallState call, long remainingTime) {
        CallAttempt last = call.lastAttempt();
        call.bodyIncomplete = false;
        call.deadline = deadlineAfter(remainingTime);
        last.timedFrom = now;
        call.responseCheckAt = now + call.product.slo() / RESPONSE_CHECKS_PER_SLO;
        last.upstream.inFlight += call.attemptsInFlight;
        last.locality.concurrency.trackInFlight(now, call.product, call.attemptsInFlight);
    }

    /** Handles the end of an attempt; {@code closed} is set if the exchange with the client has ended as well. */
    public void onOutcome(long currentTime, String id, int attempt, Outcome outcome, long duration, boolean closed) {
        now = currentTime;
        CallState call = calls.get(id);
        if (call == null || attempt >= call.attemptCount || !call.attempt(attempt).inFlight) {
            return;
        }
        CallAttempt endedAttempt = call.attempt(attempt);
        endedAttempt.inFlight = false;
        endedAttempt.neverExecuted = outcome.provesNotExecuted;
        call.attemptsInFlight--;
        int countedAttempts = call.bodyIncomplete ? 0 : 1;
        UpstreamState upstream = endedAttempt.upstream;
        upstream.inFlight -= countedAttempts;
        endedAttempt.locality.concurrency.trackInFlight(now, call.product, -countedAttempts);
        learning.onOutcome(endedAttempt, call.product, outcome, duration, now);
        if (IdleConnectionPolicy.shouldClose(upstream, localities[0], selector.recentCalls())) {
            actions.closeIdleConnections(upstream.endpoint.id());
        }
        if (outcome == Outcome.FULFILLED && !call.completed) {
            actions.fulfilled(id, attempt);
            complete(call, NO_ATTEMPT);
        }
        call.completed |= closed;
        applyRules(call);
    }

    /** Returns what is known about the processes of upstreams, to which the adapter reports what it sees of them. */
    public UpstreamIdentities identities() {
        return identities;
    }

    /** Handles an upstream's load report, before the outcome of the attempt that carried it. Malformed reports are ignored. */
    public void onLoadReport(long currentTime, String upstream, double[] row) {
        now = currentTime;
        reports.onReport(upstream, row, now);
    }

    /** Handles a message from another balancer. */
    public void onPeerMessage(long currentTime, byte[] message) {
        now = currentTime;
        reports.onPeerMessage(message, now);
    }

    /** Handles the start of a streamed response: the policy cancels the call's other attempts and takes no further part in it. */
    public void onResponseStarted(long currentTime, String id, int attempt) {
        now = currentTime;
        abandon(calls.get(id), attempt);
    }

    /** Handles the disconnect of a client, which no longer waits for the response. */
    public void onClientDisconnected(long currentTime, String id) {
        now = currentTime;
        abandon(calls.get(id), NO_ATTEMPT);
    }

    /** Completes a call without sending a response, and cancels all its attempts but the exempt one. */
    private void abandon(CallState call, int exemptAttempt) {
        if (call != null && !call.completed) {
            complete(call, exemptAttempt);
            applyRules(call);
        }
    }

    /** Handles a timer that {@link PolicyActions#scheduleTimer} has scheduled. */
    public void onTimer(long currentTime, long token) {
        now = currentTime;
        if (token == EndpointWatchSchedule.TIMER_TOKEN) {
            actions.watchEndpoints();
            return;
        }
        CallState call = callsByTimer.get(token);
        if (call != null) {
            call.timerAt = Long.MAX_VALUE;
            applyRules(call);
        }
    }

    /** Applies the rules in order until none applies, then schedules a timer for the time at which one may apply next. */
    private void applyRules(CallState call) {
        for (int i = 0; !call.completed && i < rules.length; i++) {
            if (rules[i].applies.test(call)) {
                rules[i].action.accept(call);
                i = -1;
            }
        }
        if (call.completed && call.attemptsInFlight == 0) {
            release(call);
        }
        long due = Math.min(
                call.responseCheckAt,
                hedging.mayAttemptAgain(call, now) ? Math.min(call.nextAttemptAt, call.deadline) : call.deadline);
        if (!call.completed && due < call.timerAt) {
            call.timerAt = due;
            actions.scheduleTimer(call.timerToken, due);
        }
    }

    private void release(CallState call) {
        calls.remove(call.id);
        callsByTimer.remove(call.timerToken);
        for (int i = 0; i < call.attemptCount; i++) {
            call.attempt(i).upstream.referencingAttempts--;
        }
    }

    private boolean isPastDeadline(CallState call) {
        return now >= call.deadline;
    }

    private boolean isResponseCheckDue(CallState call) {
        return now >= call.responseCheckAt;
    }

    private boolean hasNoAttemptLeft(CallState call) {
        return call.attemptsInFlight == 0 && !hedging.mayAttemptAgain(call, now);
    }

    private boolean isAttemptDue(CallState call) {
        return hedging.isAttemptDue(call, now) && hedging.mayAttemptAgain(call, now);
    }

    /** Checks whether the upstream of the newest attempt has responded to anything since that attempt was sent. */
    private void checkResponse(CallState call) {
        call.responseCheckAt = Long.MAX_VALUE;
        CallAttempt last = call.lastAttempt();
        outliers.ejectIfUnresponsive(last);
        if (last.inFlight && last.upstream.reportedAt < last.timedFrom) {
            reports.onSilence(last.upstream, now - last.timedFrom, now);
        }
    }

    /** Starts the call's next attempt if the retry budget covers it and an upstream is available for it. */
    private void startNextAttempt(CallState call) {
        hedging.scheduleNext(call, now);
        double cost = retryBudget.cost(call);
        boolean allowed = retryBudget.covers(cost) && !hedging.isHedgeForbidden(call);
        UpstreamState upstream = allowed ? selector.select(call, now) : null;
        if (upstream == null) {
            if (call.attemptsInFlight == 0) {
                giveUp(call);
            }
            return;
        }
        retryBudget.spend(cost);
        start(call, upstream);
    }

    private void start(CallState call, UpstreamState upstream) {
        call.addAttempt(new CallAttempt(upstream, now));
        call.responseCheckAt =
                call.bodyIncomplete ? Long.MAX_VALUE : now + call.product.slo() / RESPONSE_CHECKS_PER_SLO;
        int countedAttempts = call.bodyIncomplete ? 0 : 1;
        upstream.inFlight += countedAttempts;
        upstream.attemptsSinceReport++;
        upstream.referencingAttempts++;
        upstream.locality.concurrency.trackInFlight(now, call.product, countedAttempts);
        upstream.slowStartPermit = false;
        actions.startAttempt(call.id, upstream.endpoint.id(), call.deadline - now);
    }

    private void giveUp(CallState call) {
        long retryAfter = admission.retryAfter(call.product);
        if (RepeatSafety.mayClientRepeat(call) && now < call.deadline) {
            actions.rateLimited(call.id, retryAfter);
        } else {
            actions.errored(call.id);
        }
        complete(call, NO_ATTEMPT);
    }

    /** Marks a call as completed and cancels its attempts in flight, except the exempt one, where the settings allow it. */
    private void complete(CallState call, int exemptAttempt) {
        call.completed = true;
        for (int i = 0; settings.limits().mayCancel() && i < call.attemptCount; i++) {
            if (call.attempt(i).inFlight && i != exemptAttempt) {
                actions.cancelAttempt(call.id, i);
            }
        }
    }
}
