package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests of {@link LearnedLocality} with rows of any length and content. */
class LearnedLocalityTest {
    private static final double[][] MALFORMED = {
        {}, {1}, {1, 2, 3}, {1, 2, 3, 4, 5, 6}, {-1, 2, 3, 4}, {Double.NaN, 2, 3, 4}, {1e6, 2, 3, 4}, {1, 2, 3, 4, -0.5}
    };

    @Test
    void returnsEachColumnOfRow() {
        LearnedLocality learned = LearnedLocality.ofRow(4, 0.2, 0.1, 33, 6);
        assertEquals(4, learned.concurrencyLimit());
        assertEquals(0.2, learned.latencyRatio());
        assertEquals(0.1, learned.baselineLatencyRatio());
        assertEquals(33, learned.responseRate());
        assertEquals(OptionalDouble.of(6), learned.memberCount());
        assertEquals(
                OptionalDouble.empty(), LearnedLocality.ofRow(4, 0.2, 0.1, 33).memberCount());
    }

    @Test
    void returnsMalformedRowUnchanged() {
        for (double[] row : MALFORMED) {
            LearnedLocality learned = LearnedLocality.ofRow(row);
            assertArrayEquals(row, learned.toRow());
            assertFalse(learned.isWellFormed(), learned.toString());
            assertEquals(LearnedLocality.ofRow(row), learned);
        }
        assertTrue(LearnedLocality.ofRow(0, 0, 0, 0).isWellFormed());
        assertTrue(LearnedLocality.ofRow(0, 0, 0, 0, 0).isWellFormed());
    }

    @Test
    void staysUnchangedWhenArraysAreModified() {
        double[] row = {1, 2, 3, 4};
        LearnedLocality learned = LearnedLocality.ofRow(row);
        row[0] = 9;
        learned.toRow()[0] = 9;
        assertArrayEquals(
                new double[] {7, 2, 3, 4}, learned.withConcurrencyLimit(7).toRow());
        assertArrayEquals(new double[] {0.5, 2, 3, 2}, learned.decayed(0.5).toRow());
        assertArrayEquals(new double[] {1, 2, 3, 4}, learned.toRow());
    }

    @Test
    void keepsRowUnchangedWhenColumnsAreMissing() {
        assertArrayEquals(
                new double[0], LearnedLocality.ofRow().withConcurrencyLimit(7).toRow());
        assertArrayEquals(
                new double[] {8, 2}, LearnedLocality.ofRow(8, 2).decayed(0.5).toRow());
        assertEquals(0, LearnedLocality.ofRow(8, 2).responseRate());
    }
}
