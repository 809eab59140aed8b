package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import gorsestack.decision.DecisionTrace.ActionKind;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Compares all decisions with stored ones (golden master): the resource holds one line per seed with the digest of its trace. A refactoring
 * must not change any digest. After an intended change of behaviour, -Dgorsestack.test.trace.write=FILE writes new ones.
 */
@SuppressWarnings("EnumOrdinal") // Actions are counted by the ordinal of their kind.
class DecisionTraceTest {
    private static final int SEEDS = 200;
    private static final String RESOURCE = "/decision-trace.sha256";
    private static final String WRITE_PROPERTY = "gorsestack.test.trace.write";

    /** Minimum number of actions of each kind over all traces; with fewer, the traces no longer cover that kind. */
    private static final Map<ActionKind, Integer> MIN_COUNTS = new EnumMap<>(Map.ofEntries(
            Map.entry(ActionKind.FIRST_ATTEMPT, 50_000),
            Map.entry(ActionKind.SECOND_ATTEMPT, 2_000),
            Map.entry(ActionKind.THIRD_ATTEMPT, 400),
            Map.entry(ActionKind.FOURTH_ATTEMPT, 100),
            Map.entry(ActionKind.ATTEMPT_TO_FAILING, 5_000),
            Map.entry(ActionKind.CANCEL, 500),
            Map.entry(ActionKind.FULFILLED, 30_000),
            Map.entry(ActionKind.RATE_LIMITED, 10_000),
            Map.entry(ActionKind.ERRORED, 5_000),
            Map.entry(ActionKind.SCHEDULE_TIMER, 50_000),
            Map.entry(ActionKind.SEND_TO_PEER, 20_000),
            Map.entry(ActionKind.CLOSE_IDLE_CONNECTIONS, 500),
            Map.entry(ActionKind.WATCH_ENDPOINTS, 200)));

    @Test
    void makesStoredDecisionsForEverySeed() throws IOException {
        long[] counts = new long[ActionKind.values().length];
        List<String> lines = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            DecisionTrace trace = new DecisionTrace(seed);
            lines.add(seed + " " + trace.run());
            for (int i = 0; i < counts.length; i++) {
                counts[i] += trace.counts[i];
            }
        }
        assertCoverage(counts);
        String file = System.getProperty(WRITE_PROPERTY);
        if (file != null) {
            Files.write(Path.of(file), lines);
            fail("wrote " + lines.size() + " digests to " + file + " without comparing them with the stored ones");
        }
        assertSame(stored(), lines);
    }

    private static void assertCoverage(long[] counts) {
        List<String> tooFew = new ArrayList<>();
        for (ActionKind kind : ActionKind.values()) {
            if (counts[kind.ordinal()] < MIN_COUNTS.get(kind)) {
                tooFew.add(kind + " " + counts[kind.ordinal()] + " < " + MIN_COUNTS.get(kind));
            }
        }
        assertTrue(tooFew.isEmpty(), () -> "traces cover too few actions: " + tooFew);
    }

    private static void assertSame(List<String> stored, List<String> lines) {
        assertEquals(SEEDS, stored.size(), "number of stored digests");
        List<Integer> differing = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            if (!stored.get(seed).equals(lines.get(seed))) {
                differing.add(seed);
            }
        }
        assertTrue(
                differing.isEmpty(),
                () -> differing.size() + " of " + SEEDS + " seeds have other decisions than stored: " + differing);
    }

    private static List<String> stored() throws IOException {
        try (InputStream in = DecisionTraceTest.class.getResourceAsStream(RESOURCE)) {
            assertNotNull(in, RESOURCE);
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }
}
