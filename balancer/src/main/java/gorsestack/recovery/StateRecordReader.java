package gorsestack.recovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.LearnedLocality;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the records of one state text, whose format {@link StateCodec} describes. {@link StateCodec} creates one reader per text. */
final class StateRecordReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
    private final List<LearnedLocality> learned = new ArrayList<>();
    private final List<PersistentState.StoredEndpoint> endpoints = new ArrayList<>();
    private String balancerName = "";
    private long incarnation;
    private long writtenAt;
    private long learnedAt;
    private ClockOrigin clock = ClockOrigin.UNKNOWN;
    private JsonNode snapshot;
    private int intactRecords;
    private int damagedLines;
    private boolean endFound;

    /** Reads all lines behind the first; damaged lines are skipped. */
    StateCodec.DecodedState read(int version, String[] lines) {
        // The last element is empty, or a line that was cut off.
        for (int i = 1; i < lines.length - 1; i++) {
            readLine(lines[i]);
        }
        boolean complete = endFound && damagedLines == 0 && lines[lines.length - 1].isEmpty();
        String usable = "; taken are " + orders.size() + " bans";
        if (version > StateCodec.VERSION) {
            // Maintenance orders have the same meaning in every version; other records of a later version may differ.
            String damage = "it is of version " + version + ", later than " + StateCodec.VERSION;
            return StateCodec.DecodedState.damaged(ordersOnly(), damage + usable);
        }
        if (!complete) {
            String damage = damagedLines > 0 ? damagedLines + " lines are damaged" : "it is truncated";
            return StateCodec.DecodedState.damaged(ordersOnly(), damage + usable);
        }
        return StateCodec.DecodedState.complete(state());
    }

    private void readLine(String line) {
        String json = StateCodec.verifiedJson(line);
        JsonNode record = json == null ? null : parse(json);
        if (record == null) {
            damagedLines++;
            return;
        }
        switch (record.path("is").asText()) {
            case "from" -> readOrigin(record);
            case "ban" -> readOrder(record);
            case "learnt" -> readLearned(record);
            case "list" -> snapshot = record;
            case "member" -> readEndpoint(record);
            case "end" -> endFound = record.path("lines").asInt(-1) == intactRecords;
            default -> {} // Unknown records are ignored, so that a later release can add records within this version.
        }
        intactRecords++;
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private void readOrigin(JsonNode record) {
        balancerName = record.path("name").asText();
        incarnation = record.path("incarnation").asLong();
        writtenAt = record.path("written").asLong();
        clock = new ClockOrigin(
                record.path("boot").asText(""), record.path("clock").asLong());
    }

    private void readOrder(JsonNode record) {
        long endedAt = record.path("back").asLong(PersistentState.NOT_ENDED);
        long orderedAt = record.path("said").asLong();
        orders.put(record.path("upstream").asText(), new PersistentState.MaintenanceOrder(endedAt, orderedAt));
    }

    private void readLearned(JsonNode record) {
        JsonNode columns = record.path("figures");
        double[] row = new double[columns.size()];
        for (int i = 0; i < row.length; i++) {
            row[i] = columns.path(i).asDouble(Double.NaN);
        }
        learned.add(LearnedLocality.ofRow(row));
        learnedAt = record.path("at").asLong();
    }

    private void readEndpoint(JsonNode record) {
        endpoints.add(new PersistentState.StoredEndpoint(
                record.path("name").asText(),
                record.path("address").asText(),
                record.path("zone").asText(),
                record.path("type").asText(),
                record.path("group").isInt() ? record.path("group").intValue() : null,
                record.path("status").asText(),
                record.path("weight").asDouble(1),
                record.path("since_ms").asLong()));
    }

    private PersistentState state() {
        PersistentState.EndpointSnapshot endpointSnapshot = snapshot == null
                ? null
                : new PersistentState.EndpointSnapshot(
                        snapshot.path("index").asLong(),
                        snapshot.path("discovery").asText(),
                        snapshot.path("confirmed").asLong(),
                        endpoints);
        return new PersistentState(
                balancerName, incarnation, writtenAt, orders, learned, learnedAt, endpointSnapshot, clock);
    }

    private PersistentState ordersOnly() {
        return new PersistentState("", 0, 0, orders, List.of(), 0, null, clock);
    }
}
