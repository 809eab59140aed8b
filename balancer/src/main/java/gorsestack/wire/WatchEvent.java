package gorsestack.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One event of the watch on discovery. Immutable; {@link DiscoveryWatch} parses it and passes it to its listener on the event loop's
 * thread, and the configuration parses its endpoint list with {@link #read}.
 *
 * @param index version of the list after this event
 * @param update the update for the balancing policy
 * @param addresses address on which each endpoint listens, by the endpoint's name
 */
public record WatchEvent(long index, EndpointUpdate update, Map<String, InetSocketAddress> addresses) {
    private static final System.Logger LOG = System.getLogger("gorsestack.discovery");
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_LOGGED_CHARS = 200;
    private static final long NANOS_PER_MILLI = 1_000_000;

    static WatchEvent parse(byte[] line) throws MalformedMessageException {
        try {
            return read(JSON.readTree(line), null);
        } catch (JsonProcessingException e) {
            throw new MalformedMessageException(502, "invalid JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw new MalformedMessageException(502, e.toString());
        }
    }

    /**
     * Parses an event. An entry without a name, or in service without a valid address, is skipped with one line in the log.
     *
     * @param kindOverride the kind of update, or null to take it from the event
     */
    public static WatchEvent read(JsonNode node, EndpointUpdate.Kind kindOverride) throws MalformedMessageException {
        if (!node.path("endpoints").isArray() || !node.path("index").isNumber()) {
            throw new MalformedMessageException(502, "the endpoint list lacks its index or its endpoints");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (JsonNode entry : node.path("endpoints")) {
            String name = entry.path("name").asText("");
            // An unknown state is treated as draining, which means no new calls.
            EndpointState state = switch (entry.path("status").asText("")) {
                case "in_service" -> EndpointState.READY;
                case "terminated" -> EndpointState.GONE;
                default -> EndpointState.DRAINING;
            };
            InetSocketAddress address = address(entry.path("address").asText(""));
            if (name.isEmpty() || (address == null && state == EndpointState.READY)) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "endpoint_skipped reason=\"no name or address\" entry={0}",
                        abbreviate(entry.toString()));
                continue;
            }
            if (address != null) {
                addresses.put(name, address);
            }
            // The event loop's clock counts from 1970 too; 0 stays 0, which means long ago.
            endpoints.add(new Endpoint(
                    name,
                    state,
                    entry.path("since_ms").asLong(0) * NANOS_PER_MILLI,
                    cell(entry.path("group")),
                    entry.path("weight").asDouble(1),
                    entry.path("type").asText(""),
                    Optional.of(entry.path("zone").asText("")).filter(zone -> !zone.isEmpty())));
        }
        EndpointUpdate.Kind kind = kindOverride != null
                ? kindOverride
                : node.path("snapshot").asBoolean(false) ? EndpointUpdate.Kind.SNAPSHOT : EndpointUpdate.Kind.DELTA;
        return new WatchEvent(node.path("index").asLong(), new EndpointUpdate(kind, endpoints), addresses);
    }

    private static OptionalInt cell(JsonNode group) {
        return group.canConvertToExactIntegral() && group.canConvertToInt()
                ? OptionalInt.of(group.intValue())
                : OptionalInt.empty();
    }

    /** Parses a numeric address and port; returns null for anything else, as a host name would need a blocking lookup. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:]+]")) {
            return null;
        }
        try {
            InetSocketAddress address =
                    new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            return address.isUnresolved() ? null : address;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Formats an address in the form that {@link #address} parses. */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static String abbreviate(String text) {
        return text.length() > MAX_LOGGED_CHARS ? text.substring(0, MAX_LOGGED_CHARS) + "..." : text;
    }
}
