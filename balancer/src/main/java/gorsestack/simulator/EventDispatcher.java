package gorsestack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorsestack.decision.BalancingPolicy;
import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.decision.Outcome;
import gorsestack.decision.Settings;
import gorsestack.settings.SettingsReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Passes each event of a batch to the policy of the balancer it is addressed to, for {@link SimulatorHost}. Not thread-safe. */
final class EventDispatcher {
    /** The values of the field {@code form} of SYNC: cached list, snapshot, delta and failed poll. */
    private static final long FORM_CACHED = 0;

    private static final long FORM_SNAPSHOT = 1;
    private static final long FORM_DELTA = 2;
    private static final long FORM_FAILED = 4;
    /** The values of an endpoint's {@code state}: gone and ready. Any other value is treated as draining. */
    private static final long STATE_GONE = 0;

    private static final long STATE_READY = 1;

    private final PrintStream err;
    private final Map<Long, BalancingPolicy> policies = new HashMap<>();
    private final Map<Long, List<Endpoint>> endpointLists = new HashMap<>();
    private JsonGenerator reply;
    private long round;
    private long now;

    /** @param err receives the stack traces of exceptions that policies throw */
    EventDispatcher(PrintStream err) {
        this.err = err;
    }

    /** Returns the reply that is being written. */
    JsonGenerator reply() {
        return reply;
    }

    /**
     * Dispatches the events of a batch.
     *
     * @param parser the parser, positioned at the opening bracket of the events
     * @param currentReply receives the actions of the policies
     */
    void dispatch(JsonParser parser, long currentRound, long currentTime, JsonGenerator currentReply)
            throws IOException {
        round = currentRound;
        now = currentTime;
        reply = currentReply;
        MessageReader message = new MessageReader(parser);
        JsonToken token;
        while ((token = parser.nextToken()) != JsonToken.END_ARRAY) {
            if (token != JsonToken.START_ARRAY) {
                throw new InvalidBatchException("an event must be an array, not " + token);
            }
            message.begin("event");
            String name = message.text("name");
            message.setName(name);
            if (name.equals("SHEET")) {
                storeEndpoints(message, parser);
            } else {
                dispatchEvent(name, message, parser);
            }
            message.end();
        }
    }

    private void storeEndpoints(MessageReader message, JsonParser parser) throws IOException {
        long list = message.integer("bank");
        if (message.next() != JsonToken.START_ARRAY) {
            throw new InvalidBatchException("SHEET: items must be an array");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        MessageReader item = new MessageReader(parser);
        JsonToken token;
        while ((token = parser.nextToken()) != JsonToken.END_ARRAY) {
            if (token != JsonToken.START_ARRAY) {
                throw new InvalidBatchException("SHEET: an entry must be an array, not " + token);
            }
            item.begin("SHEET entry");
            endpoints.add(endpoint(item));
        }
        endpointLists.put(list, endpoints);
    }

    private static Endpoint endpoint(MessageReader item) throws IOException {
        long state = item.integer("state");
        long startedAt = SimulatorTime.nanos(item.numberOr("startedAt", 0));
        double cell = item.numberOr("cluster", Double.NaN);
        double weight = item.numberOr("powerHint", 1);
        String type = item.textOrNull("type");
        String zone = item.textOrNull("regionPart");
        String id = item.text("upstream");
        item.end();
        return new Endpoint(
                id,
                endpointState(state),
                startedAt,
                Double.isNaN(cell) ? OptionalInt.empty() : OptionalInt.of((int) cell),
                weight,
                type == null ? "" : type,
                Optional.ofNullable(zone).filter(name -> !name.isEmpty()));
    }

    private static EndpointState endpointState(long state) {
        if (state == STATE_READY) {
            return EndpointState.READY;
        }
        return state == STATE_GONE ? EndpointState.GONE : EndpointState.DRAINING;
    }

    private void dispatchEvent(String name, MessageReader message, JsonParser parser) throws IOException {
        long instance = message.integer("balancerId");
        if (name.equals("HELLO")) {
            createPolicy(instance, message, parser);
            return;
        }
        BalancingPolicy policy = policies.get(instance);
        if (policy == null) {
            return;
        }
        switch (name) {
            case "SYNC" -> onSync(instance, policy, message);
            case "NEW_REQUEST" -> onNewRequest(instance, policy, message);
            case "ANSWER" -> onAnswer(instance, policy, message);
            case "PEER_DATA" -> onPeerData(instance, policy, message);
            case "BEGUN" -> onBegun(instance, policy, message);
            case "CLIENT_GONE" -> {
                String id = message.text("ref");
                runGuarded(instance, () -> policy.onClientDisconnected(now, id));
            }
            case "DEADLINE_HIT" -> {
                long token = message.integer("mark");
                runGuarded(instance, () -> policy.onTimer(now, token));
            }
            case "DESTROY" -> policies.remove(instance);
            default -> {}
        }
    }

    private void createPolicy(long instance, MessageReader message, JsonParser parser) throws IOException {
        long seed = message.integer("seed");
        if (message.next() != JsonToken.START_OBJECT) {
            throw new InvalidBatchException("HELLO: info must be an object");
        }
        Settings settings = SettingsReader.read(parser.readValueAsTree());
        runGuarded(
                instance,
                () -> policies.put(
                        instance, new BalancingPolicy(settings, seed, now, new SimulatorActions(this, instance))));
    }

    private void onSync(long instance, BalancingPolicy policy, MessageReader message) throws IOException {
        long form = message.integer("form");
        message.numberOr("rev", 0);
        EndpointUpdate update = endpointUpdate(form, form == FORM_FAILED ? -1 : message.integer("bank"));
        runGuarded(instance, () -> policy.onEndpointUpdate(now, update));
    }

    private EndpointUpdate endpointUpdate(long form, long list) throws InvalidBatchException {
        if (form == FORM_FAILED) {
            return new EndpointUpdate(EndpointUpdate.Kind.FAILED, List.of());
        }
        List<Endpoint> endpoints = endpointLists.get(list);
        if (endpoints == null) {
            throw new InvalidBatchException("SYNC names list " + list + ", which was never sent");
        }
        if (form == FORM_CACHED) {
            return new EndpointUpdate(EndpointUpdate.Kind.CACHED, endpoints);
        }
        if (form == FORM_SNAPSHOT) {
            return new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, endpoints);
        }
        if (form == FORM_DELTA) {
            return new EndpointUpdate(EndpointUpdate.Kind.DELTA, endpoints);
        }
        throw new InvalidBatchException("SYNC: form " + form + " is not known");
    }

    private void onNewRequest(long instance, BalancingPolicy policy, MessageReader message) throws IOException {
        String id = message.text("ref");
        String product = message.text("tierClass");
        String tenant = message.textOrNull("clientGroup");
        message.textOrNull("resource");
        double remainingMillis = message.numberOr("remaining", Double.NaN);
        message.numberOr("costGuess", 0);
        message.numberOr("marks", 0);
        long remaining = Double.isNaN(remainingMillis) ? -1 : Math.max(0, SimulatorTime.nanos(remainingMillis));
        runGuarded(instance, () -> policy.onApiCall(now, id, product, tenant, remaining));
    }

    private void onAnswer(long instance, BalancingPolicy policy, MessageReader message) throws IOException {
        String id = message.text("ref");
        int attempt = (int) message.integer("seqNo");
        String upstream = message.textOrNull("upstream");
        Outcome outcome = outcome(message.text("code"));
        long duration = SimulatorTime.nanos(message.numberOr("costTime", 0));
        boolean closed = message.flag("closed");
        double[] report = message.numbersOrNull();
        if (upstream != null && report != null) {
            runGuarded(instance, () -> policy.onLoadReport(now, upstream, report));
        }
        runGuarded(instance, () -> policy.onOutcome(now, id, attempt, outcome, duration, closed));
    }

    private void onPeerData(long instance, BalancingPolicy policy, MessageReader message) throws IOException {
        message.integer("originPeer");
        byte[] data = bytes(message.textOrNull("bytes"));
        runGuarded(instance, () -> policy.onPeerMessage(now, data));
    }

    private void onBegun(long instance, BalancingPolicy policy, MessageReader message) throws IOException {
        String id = message.text("ref");
        message.numberOr("costTime", 0);
        int attempt = (int) message.integer("seqNo");
        runGuarded(instance, () -> policy.onResponseStarted(now, id, attempt));
    }

    /** Decodes a hex string; returns an empty array if it is absent or malformed. */
    private static byte[] bytes(String hex) {
        try {
            return hex == null ? new byte[0] : HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            return new byte[0];
        }
    }

    private static Outcome outcome(String code) {
        return switch (code) {
            case "success" -> Outcome.FULFILLED;
            case "failure" -> Outcome.ERROR;
            case "overloaded" -> Outcome.REJECTED;
            case "timed_out" -> Outcome.TIMED_OUT;
            case "unreachable" -> Outcome.UNREACHABLE;
            case "broken" -> Outcome.BROKEN;
            case "withdrawn" -> Outcome.CANCELLED;
            case "void" -> Outcome.NOT_SENT;
            default -> Outcome.UNKNOWN;
        };
    }

    /** Runs a step of a policy. If it throws, reports the exception to the simulator and prints its stack trace to standard error. */
    private void runGuarded(long instance, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            new SimulatorActions(this, instance).reportPolicyFailure("round " + round + ": " + e);
        }
    }
}
