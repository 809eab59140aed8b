package gorsestack.recovery;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the state file of version 0.5, which held only maintenance orders, so that they stay in force after an upgrade. Used by
 * {@link StateCodec}; stateless.
 */
final class LegacyStateReader {
    /** First line of a state file of version 0.5. */
    static final String FORMAT = "gorsestack by hand 1";

    private LegacyStateReader() {}

    static StateCodec.DecodedState read(String[] lines) {
        Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
        boolean complete = false;
        for (int i = 1; i < lines.length - 1; i++) {
            try {
                readOrder(lines[i], orders);
            } catch (IllegalArgumentException e) {
                continue; // A damaged line is skipped.
            }
            complete = lines[i].equals("end");
        }
        PersistentState state = PersistentState.NONE.with(orders);
        return complete
                ? StateCodec.DecodedState.complete(state)
                : StateCodec.DecodedState.damaged(
                        state, "it is of version 0.5 and damaged; taken are " + orders.size() + " bans");
    }

    private static void readOrder(String line, Map<String, PersistentState.MaintenanceOrder> orders) {
        String[] fields = line.split(" ");
        if (fields[0].equals("out") && fields.length == 2) {
            orders.put(decodeName(fields[1]), new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 0));
        } else if (fields[0].equals("back") && fields.length == 3) {
            long endedAt = Long.parseLong(fields[1]);
            orders.put(decodeName(fields[2]), new PersistentState.MaintenanceOrder(endedAt, endedAt));
        }
    }

    private static String decodeName(String upstream) {
        return URLDecoder.decode(upstream, StandardCharsets.UTF_8);
    }
}
