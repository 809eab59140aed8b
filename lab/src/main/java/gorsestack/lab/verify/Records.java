package gorsestack.lab.verify;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.luben.zstd.ZstdInputStream;
import com.github.luben.zstd.ZstdOutputStream;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The observations of clients, upstreams and discovery during a run. They are the only input of verification; nothing is taken from the
 * balancers themselves. Times are in nanoseconds from the start of the measured load. The names of properties and kinds in files are part
 * of the file format and do not change when a class or component is renamed. During a run, only the event loop accesses the records.
 */
public final class Records {
    /** The time of an event that did not happen. */
    public static final long NEVER = Long.MIN_VALUE;

    /**
     * One try of a client's call; the tries of a call are numbered from 0. The intended time is when the client was due to send it, even if
     * sending was delayed; sent is when the last byte was written, or NEVER. The outcome is an HTTP status, closed, refused, unreachable,
     * timeout or left. The response is correct if an upstream produced it for this request.
     */
    public record ClientRequest(
            String id,
            int call,
            int number,
            String product,
            String zone,
            int balancer,
            long intended,
            long sent,
            @JsonProperty("left") long timeBudget,
            long ended,
            @JsonProperty("end") String outcome,
            @JsonProperty("first") boolean firstOnConnection,
            @JsonProperty("right") boolean correct,
            double retryAfter,
            @JsonProperty("last") boolean finalTry,
            String party,
            String tenant) {

        /** Returns whether the balancer responded with an HTTP status. */
        boolean hasStatus() {
            return outcome.matches("\\d+");
        }

        /** Returns whether the balancer rejected the request with a status that invites the client to retry. */
        boolean rejected() {
            return outcome.equals("429") || outcome.equals("503");
        }
    }

    /**
     * One attempt, as its upstream observed it. It counts as started with the first byte and as received with the last one;
     * {@code respondedAt} is when the response was written, or NEVER.
     */
    public record UpstreamAttempt(
            String id,
            String key,
            String product,
            int tier,
            int upstream,
            String zone,
            int cell,
            int balancer,
            @JsonProperty("begun") long startedAt,
            @JsonProperty("last") long receivedAt,
            String outcome,
            @JsonProperty("ran") boolean executed,
            @JsonProperty("answered") long respondedAt) {

        /** Returns a copy of this attempt that has its outcome. */
        public UpstreamAttempt ended(String endOutcome, boolean wasExecuted, long responseTime) {
            return new UpstreamAttempt(
                    id,
                    key,
                    product,
                    tier,
                    upstream,
                    zone,
                    cell,
                    balancer,
                    startedAt,
                    receivedAt,
                    endOutcome,
                    wasExecuted,
                    responseTime);
        }
    }

    /** The delivery of an upstream's new status from discovery to a balancer. */
    public record StatusDelivery(int balancer, int upstream, String status, long at) {}

    /** The publication of an upstream's new status by discovery. */
    public record EndpointChange(int upstream, String status, long at) {}

    /** A request from a balancer to discovery for the endpoint list or for a watch of it. */
    public record ListCall(int balancer, long at, String outcome) {}

    /** A response that a client received in addition to, or instead of, the one to its request. */
    public record ExtraResponse(int balancer, String id, long at) {}

    /** An event of a balancer process, for example start, ready, kill, term, stop, cont, exit or crash. */
    public record ProcessEvent(
            int balancer, @JsonProperty("what") String event, long at) {}

    /** An injected fault and the links or parties that it affected. */
    public record InjectedFault(
            int fault,
            String label,
            long from,
            long until,
            @JsonProperty("whom") List<String> targets,
            boolean measured) {}

    /** An overload of an upstream during its slow start: the work that it was offered and its capacity, both in milliseconds of work. */
    public record SlowStartOverload(
            int upstream,
            long at,
            double offered,
            @JsonProperty("able") double capacity) {}

    /** A connection that a balancer opened to an upstream. */
    public record ConnectionOpened(int balancer, int upstream, long at) {}

    /** The connections that were open at all upstreams at the end of a second, those opened during it, and all datagrams sent so far. */
    public record SecondSample(int second, int connections, int opened, long datagrams) {}

    /** The disconnect of a client while its request was in progress. */
    public record ClientDisconnect(String id, int balancer, long at) {}

    /** A case in which a misbehaving client did not get the responses, or the close, that a balancer owes it. */
    public record MisbehavingClientViolation(
            String id,
            int balancer,
            long from,
            long until,
            @JsonProperty("what") String description) {}

    /** The distribution of the delays of the lab's event loop, in microseconds. */
    public record LoopDelay(
            long p50, long p99, @JsonProperty("most") long max) {}

    public final List<ClientRequest> clientRequests = new ArrayList<>();
    public final List<UpstreamAttempt> upstreamAttempts = new ArrayList<>();
    public final List<StatusDelivery> statusDeliveries = new ArrayList<>();
    public final List<EndpointChange> endpointChanges = new ArrayList<>();
    public final List<ListCall> listCalls = new ArrayList<>();
    public final List<ExtraResponse> extraResponses = new ArrayList<>();
    public final List<ProcessEvent> processEvents = new ArrayList<>();
    public final List<InjectedFault> injectedFaults = new ArrayList<>();
    public final List<SlowStartOverload> slowStartOverloads = new ArrayList<>();
    public final List<ConnectionOpened> connectionsOpened = new ArrayList<>();
    public final List<SecondSample> secondSamples = new ArrayList<>();
    public final List<LoopDelay> loopDelays = new ArrayList<>();
    public final List<ClientDisconnect> clientDisconnects = new ArrayList<>();
    public final List<MisbehavingClientViolation> misbehavingClientViolations = new ArrayList<>();

    private static final ObjectMapper JSON = new ObjectMapper();
    /** The property that holds the kind of a record, present in each line of a file. */
    private static final String KIND_PROPERTY = "is";

    /** A kind of record: its name in files, its class, and the list that holds its records. */
    private record Kind<T>(String name, Class<T> type, List<T> records) {
        void read(JsonNode node) throws IOException {
            records.add(JSON.treeToValue(node, type));
        }
    }

    /** Returns all kinds in the order in which they are written to files, which is by name. */
    private List<Kind<?>> kinds() {
        return List.of(
                new Kind<>("Attempt", UpstreamAttempt.class, upstreamAttempts),
                new Kind<>("Change", EndpointChange.class, endpointChanges),
                new Kind<>("Connect", ConnectionOpened.class, connectionsOpened),
                new Kind<>("Extra", ExtraResponse.class, extraResponses),
                new Kind<>("Fell", SlowStartOverload.class, slowStartOverloads),
                new Kind<>("Happened", InjectedFault.class, injectedFaults),
                new Kind<>("Lab", LoopDelay.class, loopDelays),
                new Kind<>("Left", ClientDisconnect.class, clientDisconnects),
                new Kind<>("ListCall", ListCall.class, listCalls),
                new Kind<>("Process", ProcessEvent.class, processEvents),
                new Kind<>("Rude", MisbehavingClientViolation.class, misbehavingClientViolations),
                new Kind<>("Second", SecondSample.class, secondSamples),
                new Kind<>("Told", StatusDelivery.class, statusDeliveries),
                new Kind<>("Try", ClientRequest.class, clientRequests));
    }

    /** Writes all records to a zstd-compressed file, one JSON object per line. */
    public void write(Path file) throws IOException {
        try (BufferedWriter out = new BufferedWriter(
                new OutputStreamWriter(new ZstdOutputStream(Files.newOutputStream(file)), StandardCharsets.UTF_8))) {
            for (Kind<?> kind : kinds()) {
                for (Object record : kind.records()) {
                    ObjectNode node = JSON.valueToTree(record);
                    node.put(KIND_PROPERTY, kind.name());
                    out.write(JSON.writeValueAsString(node));
                    out.write('\n');
                }
            }
        }
    }

    /** Reads records from a file that {@link #write} has written. */
    public static Records read(Path file) throws IOException {
        Records records = new Records();
        Map<String, Kind<?>> byName = new HashMap<>();
        records.kinds().forEach(kind -> byName.put(kind.name(), kind));
        try (BufferedReader in = new BufferedReader(
                new InputStreamReader(new ZstdInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
            for (String line; (line = in.readLine()) != null; ) {
                ObjectNode node = (ObjectNode) JSON.readTree(line);
                String name = node.remove(KIND_PROPERTY).asText();
                Kind<?> kind = byName.get(name);
                if (kind == null) {
                    throw new IOException("unknown kind of record: " + name);
                }
                kind.read(node);
            }
        }
        return records;
    }
}
