package gorsestack.decision;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Product;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Passes all kinds of inputs to {@link BalancingPolicy} in one seeded simulation, and digests every action in order with its time and
 * arguments. A seed always gives the same digest unless a decision changes. A trace may run several instances of the policy: peers that
 * exchange messages, and a successor that restores what its predecessor has learned.
 */
@SuppressWarnings("EnumOrdinal") // Values are drawn at random by their ordinal.
final class DecisionTrace implements PolicyActions {
    /** Kinds of actions that are counted, to check that the traces cover each of them. */
    enum ActionKind {
        FIRST_ATTEMPT,
        SECOND_ATTEMPT,
        THIRD_ATTEMPT,
        FOURTH_ATTEMPT,
        ATTEMPT_TO_FAILING,
        CANCEL,
        FULFILLED,
        RATE_LIMITED,
        ERRORED,
        SCHEDULE_TIMER,
        SEND_TO_PEER,
        CLOSE_IDLE_CONNECTIONS,
        WATCH_ENDPOINTS;

        /** Returns the kind of a call's attempt, numbered from 0; attempts after the fourth count as the fourth. */
        static ActionKind ofAttempt(int number) {
            return values()[Math.min(number, FOURTH_ATTEMPT.ordinal())];
        }
    }

    private static final long MILLISECOND = DecisionTraceSettings.MILLISECOND;
    private static final long START = 1_000_000 * MILLISECOND;
    /** Time during which calls and disturbances start. */
    private static final long LOAD_TIME = 6_000 * MILLISECOND;
    /** Time after that in which all calls end. */
    private static final long SETTLING_TIME = 6_000 * MILLISECOND;
    /** Consecutive failures from which an attempt to an upstream counts as {@link ActionKind#ATTEMPT_TO_FAILING}. */
    private static final int FAILING_AFTER_FAILURES = 3;

    private static final String[] KINDS = {"", "small", "large"};
    private static final double[] WEIGHTS = {1, 1, 0.5, 2, 0};

    /** One instance of the policy. */
    private static final class Instance {
        final int number;
        BalancingPolicy policy;

        Instance(int number) {
            this.number = number;
        }
    }

    /** The simulated state of one upstream. */
    private static final class Upstream {
        Endpoint entry;
        double meanMillis;
        double capacity;
        double failureFraction;
        Outcome failure = Outcome.ERROR;
        int inFlight;
        int consecutiveFailures;
    }

    /** One attempt of a call; it is open until its outcome has been reported. */
    private static final class Attempt {
        Upstream upstream;
        long startedAt;
        boolean open = true;
    }

    /** One call, which is completed once it has a response, streamed ones from their start, or its client has disconnected. */
    private static final class ApiCall {
        String id;
        Instance instance;
        boolean bodyArriving;
        boolean completed;
        final List<Attempt> attempts = new ArrayList<>();
    }

    /** An action at a simulated time; events of the same time run in the order in which they were scheduled. */
    private record Event(long time, long sequence, Runnable action) {}

    final long[] counts = new long[ActionKind.values().length];
    private final SplittableRandom random;
    private final Settings settings;
    private final MessageDigest digest = sha256();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    private final Map<String, ApiCall> calls = new LinkedHashMap<>();
    private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final double callsPerSecond;
    /** The instance whose policy was called last, which is the source of the actions. */
    private Instance acting;

    private double callRateFactor = 1;
    private double latencyFactor = 1;
    private long now = START;
    private long nextSequence;
    private int upstreamsCreated;

    DecisionTrace(long seed) {
        random = new SplittableRandom(seed);
        settings = DecisionTraceSettings.draw(random);
        callsPerSecond = 4 * StrictMath.pow(32, random.nextDouble());
    }

    /** Runs the whole simulation and returns the digest in hexadecimal. */
    String run() {
        addInstance(settings, random.nextLong());
        if (settings.instances() > 1) {
            int peer = (settings.instanceIndex() + 1) % settings.instances();
            addInstance(DecisionTraceSettings.withIndex(settings, peer), random.nextLong());
        }
        int upstreamCount = 1 + random.nextInt(20);
        for (int i = 0; i < upstreamCount; i++) {
            addUpstream(random.nextInt(4) == 0 ? now - random.nextInt(2000) * MILLISECOND : 0);
        }
        publish(random.nextBoolean() ? Kind.SNAPSHOT : Kind.CACHED);
        scheduleNextCall();
        scheduleNextDisturbance();
        if (random.nextInt(3) == 0) {
            schedule(START + LOAD_TIME / 3, this::handOver);
        }
        runTo(START + LOAD_TIME + SETTLING_TIME);
        instances.forEach(this::recordLearned);
        return HexFormat.of().formatHex(digest.digest());
    }

    private void addInstance(Settings instanceSettings, long seed) {
        Instance instance = new Instance(instances.size());
        acting = instance;
        instance.policy = new BalancingPolicy(instanceSettings, seed, now, this);
        instances.add(instance);
    }

    private void addUpstream(long startedAt) {
        Upstream upstream = new Upstream();
        List<String> zones = settings.zones();
        String zone = random.nextInt(12) == 0 ? "unknown" : zones.get(random.nextInt(zones.size()));
        upstream.entry = new Endpoint(
                "u" + upstreamsCreated++,
                EndpointState.READY,
                startedAt,
                OptionalInt.of(random.nextInt(3)),
                WEIGHTS[random.nextInt(WEIGHTS.length)],
                KINDS[random.nextInt(KINDS.length)],
                Optional.of(zone));
        upstream.meanMillis = 10 + random.nextInt(120);
        upstream.capacity = 1 + random.nextInt(10);
        upstream.failureFraction = random.nextInt(6) == 0 ? 0.3 : 0.005;
        upstreams.put(upstream.entry.id(), upstream);
    }

    // Simulated time: events in order.

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, nextSequence++, action));
    }

    private void runTo(long end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = Math.max(now, event.time);
            event.action.run();
        }
        now = end;
    }

    /** Returns the policy of an instance, and records the instance as the source of the following actions. */
    private BalancingPolicy on(Instance instance) {
        acting = instance;
        return instance.policy;
    }

    private Instance anyInstance() {
        return instances.get(random.nextInt(instances.size()));
    }

    private Upstream anyUpstream() {
        return new ArrayList<>(upstreams.values()).get(random.nextInt(upstreams.size()));
    }

    private Outcome anyOutcome() {
        return Outcome.values()[random.nextInt(Outcome.values().length)];
    }

    // Calls, their request bodies and outcomes.

    private void scheduleNextCall() {
        long gap = (long) (-StrictMath.log(1 - random.nextDouble()) * 1e9 / (callsPerSecond * callRateFactor));
        if (now + gap < START + LOAD_TIME) {
            schedule(now + gap, () -> {
                call();
                scheduleNextCall();
            });
        }
    }

    private void call() {
        ApiCall call = new ApiCall();
        call.id = "c" + calls.size();
        call.instance = anyInstance();
        call.bodyArriving = random.nextInt(8) == 0;
        calls.put(call.id, call);
        Product product =
                settings.products().get(random.nextInt(settings.products().size()));
        String name = random.nextInt(200) == 0 ? "no such product" : product.name();
        long remainingTime = random.nextBoolean() ? -1 : (20 + random.nextInt(1500)) * MILLISECOND;
        on(call.instance).onApiCall(now, call.id, name, "tenant", call.bodyArriving ? Long.MAX_VALUE : remainingTime);
        if (call.bodyArriving) {
            scheduleBody(call);
        }
        if (random.nextInt(25) == 0) {
            schedule(now + random.nextInt(400) * MILLISECOND, () -> disconnectClient(call));
        }
    }

    private void scheduleBody(ApiCall call) {
        long completeAt = now + random.nextInt(300) * MILLISECOND;
        if (random.nextBoolean()) {
            schedule(now + (completeAt - now) / 2, () -> on(call.instance).onRequestBody(now, call.id, -1));
        }
        schedule(completeAt, () -> completeBody(call));
    }

    private void completeBody(ApiCall call) {
        if (call.completed) {
            return;
        }
        long remainingTime = random.nextInt(1000) * MILLISECOND;
        call.bodyArriving = false;
        on(call.instance).onRequestBody(now, call.id, remainingTime);
        for (int i = 0; i < call.attempts.size(); i++) {
            int number = i;
            schedule(now + remainingTime, () -> end(call, number, Outcome.TIMED_OUT));
        }
    }

    private void disconnectClient(ApiCall call) {
        call.completed = true;
        on(call.instance).onClientDisconnected(now, call.id);
    }

    private void scheduleOutcome(ApiCall call, int number, Upstream upstream) {
        double load = 1 + upstream.inFlight / upstream.capacity;
        double millis = upstream.meanMillis * load * latencyFactor * (0.5 + random.nextDouble());
        boolean fails = random.nextDouble() < upstream.failureFraction;
        Outcome outcome = !fails ? Outcome.FULFILLED : random.nextInt(4) == 0 ? anyOutcome() : upstream.failure;
        long endsAt = now + (long) ((fails ? millis / 3 : millis) * MILLISECOND);
        if (!fails && random.nextInt(20) == 0) {
            schedule(now + (endsAt - now) / 2, () -> startResponse(call, number));
        }
        schedule(endsAt, () -> end(call, number, outcome));
    }

    private void startResponse(ApiCall call, int number) {
        if (call.attempts.get(number).open && !call.completed) {
            call.completed = true;
            on(call.instance).onResponseStarted(now, call.id, number);
        }
    }

    private void end(ApiCall call, int number, Outcome outcome) {
        Attempt attempt = call.attempts.get(number);
        if (!attempt.open) {
            return;
        }
        attempt.open = false;
        attempt.upstream.inFlight--;
        boolean successful = outcome == Outcome.FULFILLED;
        attempt.upstream.consecutiveFailures = successful ? 0 : attempt.upstream.consecutiveFailures + 1;
        BalancingPolicy policy = on(call.instance);
        if (successful && random.nextInt(10) > 0) {
            policy.onLoadReport(now, attempt.upstream.entry.id(), reportRow(attempt.upstream));
        }
        policy.onOutcome(now, call.id, number, outcome, now - attempt.startedAt, successful || call.completed);
    }

    private double[] reportRow(Upstream upstream) {
        double rate = upstream.capacity * 1000 / upstream.meanMillis * random.nextDouble();
        double inFlight = upstream.inFlight * (1 + random.nextInt(3));
        return settings.reports().columns().size() == 1 ? new double[] {inFlight} : new double[] {rate, inFlight};
    }

    // Random changes of upstreams, settings and load.

    private void scheduleNextDisturbance() {
        long disturbAt = now + (20 + random.nextInt(200)) * MILLISECOND;
        if (disturbAt < START + LOAD_TIME) {
            schedule(disturbAt, () -> {
                disturb();
                scheduleNextDisturbance();
            });
        }
    }

    private void disturb() {
        switch (random.nextInt(16)) {
            case 0 -> startNewUpstream();
            case 1 -> changeState(anyUpstream(), EndpointState.DRAINING);
            case 2 -> changeState(anyUpstream(), EndpointState.GONE);
            case 3, 4 -> changeState(anyUpstream(), EndpointState.READY);
            case 5 -> restart(anyUpstream());
            case 6 -> publish(Kind.values()[random.nextInt(Kind.values().length)]);
            case 7 -> failZone();
            case 8 -> maintenance();
            case 9 -> halveQuota();
            case 10 -> on(anyInstance()).setRetryAfterJitter(random.nextInt(3) * 0.5);
            case 11 -> sendInvalidInputs();
            case 12 -> callRateFactor = random.nextInt(3) == 0 ? 5 : 1;
            case 13 -> latencyFactor = random.nextInt(3) == 0 ? 4 : 1;
            case 14 -> failSomeUpstreams();
            default -> restoreArbitraryState();
        }
    }

    private void startNewUpstream() {
        addUpstream(now);
        Upstream last = new ArrayList<>(upstreams.values()).get(upstreams.size() - 1);
        publishDelta(List.of(last.entry));
    }

    private void changeState(Upstream upstream, EndpointState state) {
        Endpoint previous = upstream.entry;
        upstream.entry = new Endpoint(
                previous.id(),
                state,
                previous.startedAt(),
                previous.cell(),
                previous.weight(),
                previous.kind(),
                previous.zone());
        publishDelta(List.of(upstream.entry));
    }

    private void restart(Upstream upstream) {
        upstream.entry = upstream.entry.startedAt(now);
        changeState(upstream, EndpointState.READY);
    }

    private void publishDelta(List<Endpoint> entries) {
        instances.forEach(instance -> on(instance).onEndpointUpdate(now, new EndpointUpdate(Kind.DELTA, entries)));
    }

    /** Sends every instance an update; a list leaves out some of the upstreams that are gone. */
    private void publish(Kind kind) {
        for (Instance instance : instances) {
            on(instance).onEndpointUpdate(now, new EndpointUpdate(kind, kind == Kind.FAILED ? List.of() : listed()));
        }
    }

    private List<Endpoint> listed() {
        return upstreams.values().stream()
                .map(upstream -> upstream.entry)
                .filter(entry -> entry.state() != EndpointState.GONE || random.nextBoolean())
                .toList();
    }

    private void failZone() {
        Optional<String> zone =
                Optional.of(settings.zones().get(random.nextInt(settings.zones().size())));
        List<Upstream> failing = upstreams.values().stream()
                .filter(u -> u.entry.zone().equals(zone))
                .toList();
        failFor(failing, 1, random.nextBoolean() ? Outcome.UNREACHABLE : Outcome.TIMED_OUT);
    }

    private void failSomeUpstreams() {
        failFor(List.of(anyUpstream(), anyUpstream(), anyUpstream()), 0.8, anyOutcome());
    }

    private void failFor(List<Upstream> failing, double failureFraction, Outcome failure) {
        for (Upstream upstream : failing) {
            upstream.failureFraction = failureFraction;
            upstream.failure = failure;
        }
        schedule(
                now + (200 + random.nextInt(1500)) * MILLISECOND,
                () -> failing.forEach(upstream -> upstream.failureFraction = 0.005));
    }

    private void maintenance() {
        Upstream upstream = anyUpstream();
        instances.forEach(instance -> on(instance).setMaintenance(now, upstream.entry.id(), UpstreamTable.NOT_ENDED));
        schedule(
                now + random.nextInt(2000) * MILLISECOND,
                () -> instances.forEach(instance -> on(instance).setMaintenance(now, upstream.entry.id(), now)));
    }

    private void halveQuota() {
        Instance instance = anyInstance();
        on(instance).setQuota(now, 0.5);
        schedule(now + random.nextInt(1500) * MILLISECOND, () -> on(instance).setQuota(now, 1));
    }

    /** Starts a new process of the first balancer, which begins with what the old one has learned. */
    private void handOver() {
        Instance old = instances.get(0);
        recordLearned(old);
        List<LearnedLocality> learned = old.policy.exportLearned();
        addInstance(settings, random.nextLong());
        Instance next = instances.get(instances.size() - 1);
        on(next).onEndpointUpdate(now, new EndpointUpdate(Kind.CACHED, listed()));
        on(old).setQuota(now, 0.5);
        on(next).setQuota(now, 0.5);
        on(next).restoreLearned(now, learned);
        schedule(now + 500 * MILLISECOND, () -> on(next).setQuota(now, 1));
    }

    private void restoreArbitraryState() {
        double[][][] rows = {
            {},
            {{}},
            {{1, 2}},
            {{-1, 0, 0, 0}, {1, 0.2, 0.2, 4}},
            {{Double.NaN, 1, 1, 1, 1}},
            {{1e7, 1, 1, 1}},
            {{4, 0.3, 0.2, 10, 3}, {2, 0.3, 0.2, 5, 3}, {1, 1, 1, 1}, {1, 1, 1, 1}, {1, 1, 1, 1}, {1, 1, 1, 1}},
        };
        on(anyInstance())
                .restoreLearned(
                        now,
                        Arrays.stream(rows[random.nextInt(rows.length)])
                                .map(LearnedLocality::ofRow)
                                .toList());
    }

    /** Sends inputs that refer to unknown calls or upstreams, or that are malformed. */
    private void sendInvalidInputs() {
        BalancingPolicy policy = on(anyInstance());
        policy.onOutcome(now, "no such call", 0, anyOutcome(), MILLISECOND, random.nextBoolean());
        policy.onOutcome(now, "c0", 7, anyOutcome(), MILLISECOND, false);
        policy.onRequestBody(now, "no such call", 5 * MILLISECOND);
        policy.onResponseStarted(now, "no such call", 0);
        policy.onClientDisconnected(now, "no such call");
        policy.onTimer(now, Long.MAX_VALUE);
        policy.setMaintenance(now, "no such upstream", now);
        policy.onLoadReport(now, "no such upstream", new double[] {1, 1});
        double[][] rows = {null, {}, {-1, -1}, {Double.NaN, 3}, {3, Double.NaN}, {1e12, 2}, {2, 1e12}, {0, 0}};
        policy.onLoadReport(now, anyUpstream().entry.id(), rows[random.nextInt(rows.length)]);
        policy.onPeerMessage(now, random.nextInt(10) == 0 ? null : randomMessage());
    }

    private byte[] randomMessage() {
        byte[] message = new byte[random.nextInt(80)];
        random.nextBytes(message);
        if (message.length > 0 && random.nextBoolean()) {
            message[0] = 1;
        }
        return message;
    }

    // Implementation of PolicyActions.

    @Override
    public void startAttempt(String apiCall, String upstream, long timeout) {
        ApiCall call = calls.get(apiCall);
        Upstream target = upstreams.get(upstream);
        int number = call.attempts.size();
        count(ActionKind.ofAttempt(number));
        if (target.consecutiveFailures >= FAILING_AFTER_FAILURES) {
            count(ActionKind.ATTEMPT_TO_FAILING);
        }
        record("attempt", apiCall, upstream, timeout);
        Attempt attempt = new Attempt();
        attempt.upstream = target;
        attempt.startedAt = now;
        call.attempts.add(attempt);
        target.inFlight++;
        if (!call.bodyArriving) {
            schedule(now + timeout, () -> end(call, number, Outcome.TIMED_OUT));
        }
        scheduleOutcome(call, number, target);
    }

    @Override
    public void cancelAttempt(String apiCall, int attempt) {
        record(ActionKind.CANCEL, "cancel", apiCall, attempt);
        schedule(now, () -> end(calls.get(apiCall), attempt, Outcome.CANCELLED));
    }

    @Override
    public void fulfilled(String apiCall, int attempt) {
        record(ActionKind.FULFILLED, "fulfilled", apiCall, attempt);
        calls.get(apiCall).completed = true;
    }

    @Override
    public void rateLimited(String apiCall, long retryAfter) {
        record(ActionKind.RATE_LIMITED, "rateLimited", apiCall, retryAfter);
        calls.get(apiCall).completed = true;
    }

    @Override
    public void errored(String apiCall) {
        record(ActionKind.ERRORED, "errored", apiCall);
        calls.get(apiCall).completed = true;
    }

    @Override
    public void scheduleTimer(long token, long dueAt) {
        record(ActionKind.SCHEDULE_TIMER, "wake", token, dueAt);
        Instance instance = acting;
        schedule(
                Math.max(dueAt, now + settings.clockResolution()),
                () -> on(instance).onTimer(now, token));
    }

    /** Delivers a random part of the messages to another instance of this trace, whatever the index; the others are lost. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
        record(ActionKind.SEND_TO_PEER, "tell", peer, HexFormat.of().formatHex(message));
        Instance receiver = anyInstance();
        if (receiver != acting && random.nextInt(10) > 0) {
            schedule(now + random.nextInt(20) * MILLISECOND, () -> on(receiver).onPeerMessage(now, message));
        }
    }

    @Override
    public void closeIdleConnections(String upstream) {
        record(ActionKind.CLOSE_IDLE_CONNECTIONS, "close", upstream);
    }

    @Override
    public void watchEndpoints() {
        record(ActionKind.WATCH_ENDPOINTS, "watch");
        Instance instance = acting;
        boolean fails = random.nextInt(3) == 0;
        schedule(
                now + random.nextInt(300) * MILLISECOND,
                () -> on(instance)
                        .onEndpointUpdate(
                                now,
                                fails
                                        ? new EndpointUpdate(Kind.FAILED, List.of())
                                        : new EndpointUpdate(Kind.SNAPSHOT, listed())));
    }

    // Digest of the actions.

    private void count(ActionKind kind) {
        counts[kind.ordinal()]++;
    }

    private void record(ActionKind kind, String action, Object... arguments) {
        count(kind);
        record(action, arguments);
    }

    private void record(String action, Object... arguments) {
        StringBuilder line = new StringBuilder();
        line.append(now).append(' ').append(acting.number).append(' ').append(action);
        for (Object argument : arguments) {
            line.append(' ').append(argument);
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private void recordLearned(Instance instance) {
        record(
                "learnt",
                instance.number,
                Arrays.deepToString(on(instance).exportLearned().stream()
                        .map(LearnedLocality::toRow)
                        .toArray()));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
