package gorsestack.decision;

import gorsestack.decision.Settings.Limits;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Rules;
import gorsestack.decision.Settings.Scope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.IntSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates the environment of one balancer's policy: time, discovery, upstreams, clients and peers. It checks every
 * action of the policy against a simple model of the rules and records violations, which {@link #settle} reports.
 */
final class PolicySimulation implements PolicyActions {
    static final long MS = 1_000_000;

    /** An attempt that the policy has started. */
    static final class Attempt {
        String upstream;
        /** The upstream's entry in the endpoint list when the attempt was started. */
        Endpoint sentTo;

        long sentAt;
        /** How the attempt ended; null while it is in flight. */
        Outcome outcome;

        boolean cancelled;
    }

    /** A call of a client, with the response that it got and the attempts that were made for it. */
    static final class ApiCall {
        String id, response;
        Product product;
        long startedAt, deadline, respondedAt, retryAfter;
        boolean notReplayable;
        List<Attempt> attempts = new ArrayList<>();
    }

    /** An action that runs at a time; actions of the same time run in the order of their sequence numbers. */
    private record ScheduledAction(long time, long sequence, Runnable action) {}

    final Map<String, ApiCall> calls = new LinkedHashMap<>();
    final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    final Set<String> inMaintenance = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    final SplittableRandom random;
    final Settings settings;
    final BalancingPolicy policy;
    long now = 1000 * MS;
    int startedWatches;
    int idleConnectionCloses;
    final List<byte[]> peerMessages = new ArrayList<>();
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    private long nextSequence;

    PolicySimulation(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        policy = new BalancingPolicy(settings, seed, now, this);
    }

    /** Creates a simulation with six upstreams in two zones. */
    static PolicySimulation withSixUpstreams(Settings settings, long seed) {
        PolicySimulation simulation = new PolicySimulation(settings, seed);
        Endpoint[] entries = new Endpoint[6];
        for (int i = 0; i < 6; i++) {
            entries[i] = entry("u" + i, EndpointState.READY, 0, i / 2, i < 3 ? "a" : "b");
        }
        simulation.updateEndpoints(EndpointUpdate.Kind.CACHED, entries);
        return simulation;
    }

    /**
     * Makes calls at a fixed interval to upstreams that respond after a fixed latency.
     *
     * @return the number of calls that wait for a response, sampled after each call
     */
    static IntSummaryStatistics pendingCallsDuring(
            PolicySimulation simulation, int calls, long interval, long latency) {
        IntSummaryStatistics pending = new IntSummaryStatistics();
        for (int i = 0; i < calls; i++) {
            simulation.call("c" + i, "once", 1000 * MS);
            simulation.fulfilLater("c" + i, latency);
            simulation.runTo(simulation.now + interval);
            pending.accept((int) simulation.calls.values().stream()
                    .filter(call -> call.response == null)
                    .count());
        }
        return pending;
    }

    static Product product(String name, Repeat repeat, Scope scope) {
        return new Product(
                name, repeat, scope, 300 * MS, 400 * MS, 1000 * MS, repeat == Repeat.NON_IDEMPOTENT ? 3 : 1, 0.5);
    }

    static Settings settings(int instances, int tier, int maxAttempts, boolean watchesEndpoints, Scope scope) {
        return new Settings(
                0,
                instances,
                tier,
                "a",
                List.of("a", "b"),
                List.of(
                        product("read", Repeat.IDEMPOTENT, Scope.ALL),
                        product("mark", Repeat.DEDUPLICATED, scope),
                        product("once", Repeat.NON_IDEMPOTENT, Scope.ALL)),
                new Limits(maxAttempts, true, true, true, 500 * MS, false),
                new Rules(10_000 * MS, 20_000 * MS, 0.15, 2.5, 1_000 * MS),
                watchesEndpoints,
                false,
                Settings.Reports.NONE,
                true,
                0,
                MS);
    }

    /**
     * Returns the settings changed for a balancer with the given index whose upstreams report their responses a second
     * and calls in flight, and whose peers exchange messages.
     */
    static Settings reporting(Settings base, int instanceIndex) {
        return new Settings(
                instanceIndex,
                base.instances(),
                base.tier(),
                base.zone(),
                base.zones(),
                base.products(),
                new Limits(base.limits().maxAttempts(), true, true, true, 500 * MS, true),
                base.rules(),
                base.watchesEndpoints(),
                false,
                new Settings.Reports(List.of("rps", "active"), 1, 0),
                true,
                0,
                MS);
    }

    static Endpoint entry(String id, EndpointState state, long startedAt, int cell, String zone) {
        return new Endpoint(id, state, startedAt, OptionalInt.of(cell), 1, "", Optional.of(zone));
    }

    /** Sends the policy an update of the endpoint list. */
    void updateEndpoints(EndpointUpdate.Kind kind, Endpoint... entries) {
        if (kind == EndpointUpdate.Kind.SNAPSHOT || kind == EndpointUpdate.Kind.CACHED) {
            endpoints.clear();
        }
        for (Endpoint entry : entries) {
            endpoints.put(entry.id(), entry);
        }
        policy.onEndpointUpdate(now, new EndpointUpdate(kind, List.of(entries)));
    }

    /** Makes a call; a remaining time of Long.MAX_VALUE means that its request body is still arriving. */
    void call(String id, String product, long remainingTime) {
        ApiCall call = new ApiCall();
        call.id = id;
        call.product = settings.products().stream()
                .filter(p -> p.name().equals(product))
                .findFirst()
                .orElseThrow();
        call.startedAt = now;
        call.deadline = remainingTime == Long.MAX_VALUE ? remainingTime : now + remainingTime;
        calls.put(id, call);
        policy.onApiCall(now, id, product, "t", remainingTime);
    }

    /** Begins or ends the maintenance of an upstream, unless it is in that state already. */
    void setMaintenance(String id, boolean begins) {
        if (begins ? inMaintenance.add(id) : inMaintenance.remove(id)) {
            policy.setMaintenance(now, id, begins ? UpstreamTable.NOT_ENDED : now);
        }
    }

    /**
     * Completes the request body of a call that was made without a remaining time. The body has been forwarded without
     * being kept, so the call must not be repeated.
     */
    void completeRequestBody(String id, long remainingTime) {
        ApiCall call = calls.get(id);
        if (call.response == null) {
            call.notReplayable = true;
            policy.onRequestBody(now, id, -1);
        }
        if (call.response == null) {
            call.deadline = now + remainingTime;
            policy.onRequestBody(now, id, remainingTime);
        }
    }

    /** Schedules an action. */
    void schedule(long time, Runnable action) {
        scheduledActions.add(new ScheduledAction(time, nextSequence++, action));
    }

    /** Runs the actions that are scheduled up to a time, and sets the clock to that time. */
    void runTo(long time) {
        while (!scheduledActions.isEmpty() && scheduledActions.peek().time <= time) {
            ScheduledAction next = scheduledActions.poll();
            now = Math.max(now, next.time);
            next.action.run();
        }
        now = time;
    }

    /** Ends an attempt, unless it has ended already. */
    void end(String id, int number, Outcome outcome) {
        ApiCall call = calls.get(id);
        Attempt attempt = call.attempts.get(number);
        if (attempt.outcome == null) {
            attempt.outcome = outcome;
            policy.onOutcome(
                    now,
                    id,
                    number,
                    outcome,
                    now - attempt.sentAt,
                    outcome == Outcome.FULFILLED || call.response != null);
        }
    }

    /** Schedules the success of the call's first attempt, unless the call has its response by then. */
    void fulfilLater(String id, long delay) {
        schedule(now + delay, () -> {
            if (calls.get(id).response == null) {
                end(id, 0, Outcome.FULFILLED);
            }
        });
    }

    private void addViolation(String violation, ApiCall call) {
        violations.add(violation + " for " + call.id + " (" + call.product.name() + ") after "
                + (now - call.startedAt) / MS + " ms");
    }

    private static boolean mayHaveExecuted(Attempt attempt) {
        return attempt.outcome == null || !attempt.outcome.provesNotExecuted;
    }

    @Override
    public void startAttempt(String id, String upstream, long timeout) {
        ApiCall call = calls.get(id);
        if (call.response != null || now >= call.deadline) {
            addViolation("attempt after the response or the deadline", call);
        }
        if (endpoints.get(upstream) == null || endpoints.get(upstream).state() != EndpointState.READY) {
            addViolation("attempt to a draining or removed upstream", call);
        }
        if (inMaintenance.contains(upstream)) {
            addViolation("attempt to an upstream in maintenance", call);
        }
        if (call.notReplayable) {
            addViolation("repeat of a request whose body was not kept", call);
        }
        if (call.attempts.size() >= settings.limits().maxAttempts()) {
            addViolation("more attempts than the settings allow", call);
        }
        for (Attempt earlier : call.attempts) {
            if (mayHaveExecuted(earlier) && call.product.repeat() == Repeat.NON_IDEMPOTENT) {
                addViolation("repeat of a non-idempotent call that may have executed", call);
            }
            if (mayHaveExecuted(earlier) && call.product.repeat() == Repeat.DEDUPLICATED) {
                Endpoint next = endpoints.get(upstream);
                if (now - earlier.sentAt >= call.product.repeatWindow()) {
                    addViolation("repeat after the repeat window", call);
                }
                if (!isInScope(call.product.scope(), earlier.sentTo, next)) {
                    addViolation("repeat outside the scope that recognizes it", call);
                }
            }
        }
        Attempt attempt = new Attempt();
        attempt.upstream = upstream;
        attempt.sentTo = endpoints.get(upstream);
        attempt.sentAt = now;
        call.attempts.add(attempt);
        int number = call.attempts.size() - 1;
        if (call.deadline < Long.MAX_VALUE) {
            schedule(now + timeout, () -> end(id, number, Outcome.TIMED_OUT));
        }
    }

    private static boolean isInScope(Scope scope, Endpoint first, Endpoint next) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone().isPresent() && first.zone().equals(next.zone());
            case CELL -> first.cell().isPresent() && first.cell().equals(next.cell());
        };
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        calls.get(id).attempts.get(attempt).cancelled = true;
        schedule(now, () -> end(id, attempt, Outcome.CANCELLED));
    }

    private void respond(String id, String response) {
        ApiCall call = calls.get(id);
        if (call.response != null) {
            addViolation("second response", call);
        }
        if (now >= call.deadline) {
            addViolation("response after the deadline", call);
        }
        call.response = response;
        call.respondedAt = now;
    }

    @Override
    public void fulfilled(String id, int attempt) {
        respond(id, "fulfilled");
    }

    @Override
    public void rateLimited(String id, long retryAfter) {
        ApiCall call = calls.get(id);
        if (!isRepeatHarmless(call)) {
            addViolation("rate-limit response although a repeat may do harm", call);
        }
        call.retryAfter = retryAfter;
        respond(id, "rate-limited");
    }

    @Override
    public void errored(String id) {
        ApiCall call = calls.get(id);
        if (isRepeatHarmless(call) && now < call.deadline - 3 * settings.clockResolution()) {
            addViolation("error where a rate-limit response was allowed", call);
        }
        respond(id, "errored");
    }

    /** Returns whether the client may repeat the call without a second effect. */
    private boolean isRepeatHarmless(ApiCall call) {
        return call.product.repeat() == Repeat.IDEMPOTENT
                || call.attempts.stream().noneMatch(PolicySimulation::mayHaveExecuted)
                || (call.product.repeat() == Repeat.DEDUPLICATED && call.product.scope() == Scope.ALL);
    }

    @Override
    public void scheduleTimer(long token, long time) {
        schedule(Math.max(time, now + settings.clockResolution()), () -> policy.onTimer(now, token));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        if (peer == settings.instanceIndex() || peer < 0 || peer >= settings.instances() || message.length > 256) {
            violations.add("peer message of " + message.length + " bytes to balancer " + peer);
        }
        peerMessages.add(message);
    }

    @Override
    public void closeIdleConnections(String upstream) {
        idleConnectionCloses++;
    }

    @Override
    public void watchEndpoints() {
        startedWatches++;
    }

    /** Advances the time past all deadlines, and fails if a call has no response or the policy has violated a rule. */
    void settle() {
        runTo(now + 10_000 * MS);
        for (ApiCall call : calls.values()) {
            if (call.response == null) {
                addViolation("no response", call);
            }
        }
        if (!violations.isEmpty()) {
            throw new AssertionError(violations.size() + " violations: "
                    + Arrays.toString(violations.stream().limit(5).toArray()));
        }
    }
}
