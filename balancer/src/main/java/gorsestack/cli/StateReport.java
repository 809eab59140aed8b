package gorsestack.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.StateCodec;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;

/** Prints the content of a persisted state file for operators and scripts; runs on the main thread. */
public final class StateReport {
    private static final int EXIT_OK = 0;
    private static final int EXIT_DAMAGED = 1;
    private static final int EXIT_UNREADABLE = 2;

    private StateReport() {}

    /**
     * Prints the part of a state file that can be used.
     *
     * @param json whether to print one JSON object rather than lines of text
     * @return the exit code: 0 if the file is complete; 1 if it is damaged, empty, no state file or an intact file of a later version, of
     *     which only a part or nothing can be used; 2 if it cannot be read
     */
    public static int show(Path file, boolean json, PrintStream out, PrintStream err) {
        StateCodec.DecodedState decoded;
        try {
            decoded = StateCodec.read(new String(Files.readAllBytes(file), StandardCharsets.UTF_8));
            PersistentState state = decoded.state();
            if (json) {
                out.println(new ObjectMapper().writeValueAsString(state));
            } else {
                printText(state, out);
            }
        } catch (IOException e) {
            err.println("gorsestack: " + file + ": " + (Files.exists(file) ? e.toString() : "no such file"));
            return EXIT_UNREADABLE;
        }
        if (!decoded.complete()) {
            err.println("gorsestack: " + file + ": " + decoded.damage());
            return EXIT_DAMAGED;
        }
        return EXIT_OK;
    }

    private static void printText(PersistentState state, PrintStream out) {
        out.println("balancer     " + (state.name().isEmpty() ? "-" : state.name()));
        out.println("incarnation  " + state.incarnation());
        out.println("written      " + timeText(state.writtenAt()));
        state.maintenanceOrders()
                .forEach((upstream, order) -> out.println("by hand      " + upstream
                        + (order.endedAt() == PersistentState.NOT_ENDED ? " out, said " : " called back, said ")
                        + timeText(order.orderedAt())));
        state.learned()
                .forEach(row -> out.println(
                        "learnt       " + Arrays.toString(row.toRow()) + " at " + timeText(state.learnedAt())));
        if (state.endpointSnapshot() != null) {
            out.println("list         index " + state.endpointSnapshot().index() + " of "
                    + state.endpointSnapshot().discovery() + ", confirmed "
                    + timeText(state.endpointSnapshot().confirmed()));
            state.endpointSnapshot()
                    .members()
                    .forEach(member -> out.println("             " + member.name() + " " + member.address() + " "
                            + member.zone() + " " + member.status()));
        }
    }

    /** Returns a time in nanoseconds since 1970 as text in UTC, or "-" for 0, which means never. */
    private static String timeText(long epochNanos) {
        return epochNanos == 0 ? "-" : Instant.ofEpochSecond(0, epochNanos).toString();
    }
}
