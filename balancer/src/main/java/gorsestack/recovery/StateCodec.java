package gorsestack.recovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.decision.LearnedLocality;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the text form of {@link PersistentState}. The first line names the format and its version. Each further line is one
 * record, a JSON object preceded by its CRC-32C; the last record holds the number of the others. Each line can be verified without the
 * others, so that maintenance orders can be recovered from a damaged file. Used by {@link SnapshotStore} and the command line's state
 * report; the line format is also that of the member log. Stateless.
 */
public final class StateCodec {
    /** Version of the format that is written. */
    public static final int VERSION = 1;

    private static final String FORMAT_PREFIX = "gorsestack state ";
    private static final int CHECKSUM_LENGTH = 8;
    private static final ObjectMapper JSON = new ObjectMapper();

    private StateCodec() {}

    /**
     * Result of reading a text.
     *
     * @param state state with everything in the text that can be used
     * @param complete whether the text is complete and undamaged
     * @param damage short description of the damage; empty if there is none
     */
    public record DecodedState(PersistentState state, boolean complete, String damage) {
        static DecodedState complete(PersistentState state) {
            return new DecodedState(state, true, "");
        }

        static DecodedState damaged(PersistentState usable, String damage) {
            return new DecodedState(usable, false, damage);
        }
    }

    /** Returns the text form of a state. */
    public static String write(PersistentState state) {
        return new Writer().write(state);
    }

    /**
     * Reads the text form of this version or of version 0.5. From a damaged text, or one of a later version, it reads only the maintenance
     * orders that can be verified; lines of version 0.5 have no checksum.
     */
    public static DecodedState read(String text) {
        if (text.isEmpty()) {
            return DecodedState.damaged(PersistentState.NONE, "it is empty");
        }
        String[] lines = text.split("\n", -1);
        if (lines[0].equals(LegacyStateReader.FORMAT)) {
            return LegacyStateReader.read(lines);
        }
        if (!lines[0].startsWith(FORMAT_PREFIX)) {
            return DecodedState.damaged(PersistentState.NONE, "it is not a state file");
        }
        int version;
        try {
            version =
                    Integer.parseInt(lines[0].substring(FORMAT_PREFIX.length()).strip());
        } catch (NumberFormatException e) {
            return DecodedState.damaged(PersistentState.NONE, "its format version is not a number");
        }
        return new StateRecordReader().read(version, lines);
    }

    /** Returns a line of the format: the checksum, the JSON text and the line end. */
    public static String line(String json) {
        return checksum(json) + " " + json + "\n";
    }

    /** Returns the JSON text of a line that is given without its line end; null if the checksum is wrong. */
    public static String verifiedJson(String line) {
        boolean hasChecksum = line.length() > CHECKSUM_LENGTH + 1 && line.charAt(CHECKSUM_LENGTH) == ' ';
        if (!hasChecksum) {
            return null;
        }
        String json = line.substring(CHECKSUM_LENGTH + 1);
        return line.startsWith(checksum(json)) ? json : null;
    }

    private static String checksum(String json) {
        CRC32C crc = new CRC32C();
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        crc.update(bytes, 0, bytes.length);
        return String.format("%08x", crc.getValue());
    }

    /** Writes one state. The names of records and fields are part of the stored format. */
    private static final class Writer {
        private final StringBuilder text =
                new StringBuilder(FORMAT_PREFIX).append(VERSION).append('\n');
        private int records;

        String write(PersistentState state) {
            writeOrigin(state);
            writeOrders(state);
            writeLearned(state);
            if (state.endpointSnapshot() != null) {
                writeEndpointSnapshot(state.endpointSnapshot());
            }
            writeRecord(record("end").put("lines", records));
            return text.toString();
        }

        private static ObjectNode record(String type) {
            return JSON.createObjectNode().put("is", type);
        }

        private void writeRecord(ObjectNode record) {
            text.append(line(record.toString()));
            records++;
        }

        private void writeOrigin(PersistentState state) {
            writeRecord(record("from")
                    .put("name", state.name())
                    .put("incarnation", state.incarnation())
                    .put("written", state.writtenAt())
                    .put("boot", state.clock().boot())
                    .put("clock", state.clock().offset()));
        }

        private void writeOrders(PersistentState state) {
            for (Map.Entry<String, PersistentState.MaintenanceOrder> entry :
                    new TreeMap<>(state.maintenanceOrders()).entrySet()) {
                PersistentState.MaintenanceOrder order = entry.getValue();
                ObjectNode record =
                        record("ban").put("upstream", entry.getKey()).put("said", order.orderedAt());
                if (order.endedAt() != PersistentState.NOT_ENDED) {
                    record.put("back", order.endedAt());
                }
                writeRecord(record);
            }
        }

        private void writeLearned(PersistentState state) {
            for (LearnedLocality locality : state.learned()) {
                ObjectNode record = record("learnt").put("at", state.learnedAt());
                ArrayNode columns = record.putArray("figures");
                for (double column : locality.toRow()) {
                    columns.add(column);
                }
                writeRecord(record);
            }
        }

        private void writeEndpointSnapshot(PersistentState.EndpointSnapshot snapshot) {
            writeRecord(record("list")
                    .put("index", snapshot.index())
                    .put("discovery", snapshot.discovery())
                    .put("confirmed", snapshot.confirmed()));
            for (PersistentState.StoredEndpoint endpoint : snapshot.members()) {
                writeEndpoint(endpoint);
            }
        }

        private void writeEndpoint(PersistentState.StoredEndpoint endpoint) {
            ObjectNode record = record("member")
                    .put("name", endpoint.name())
                    .put("address", endpoint.address())
                    .put("zone", endpoint.zone())
                    .put("type", endpoint.type());
            if (endpoint.group() != null) {
                record.put("group", endpoint.group());
            }
            writeRecord(record.put("status", endpoint.status())
                    .put("weight", endpoint.weight())
                    .put("since_ms", endpoint.sinceMs()));
        }
    }
}
