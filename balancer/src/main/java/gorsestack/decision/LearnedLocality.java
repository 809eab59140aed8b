package gorsestack.decision;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * The state that a balancer has learned about the upstreams of one locality. One process exports it for another, in the
 * state file, in a handover or in a message to a peer. Immutable, so any thread may use it.
 *
 * <p>The stored form is a row of numbers. A row may come from another version or from a faulty writer, so this class
 * accepts any length and any content and returns the row unchanged from {@link #toRow()}. A row may be applied only if
 * {@link #isWellFormed()} returns true.
 */
public final class LearnedLocality {
    private static final int CONCURRENCY_LIMIT = 0;
    private static final int LATENCY_RATIO = 1;
    private static final int BASELINE_LATENCY_RATIO = 2;
    private static final int RESPONSE_RATE = 3;
    private static final int MEMBER_COUNT = 4;
    private static final int COLUMNS_WITHOUT_MEMBER_COUNT = 4;
    private static final int COLUMNS = 5;
    /** Exclusive upper bound of a plausible value in any column. A larger number comes from a row with another meaning. */
    private static final double MAX_VALUE = 1e6;

    private final double[] row;

    private LearnedLocality(double[] row) {
        this.row = row;
    }

    /** Creates the state from a stored or received row of any length and content. */
    public static LearnedLocality ofRow(double... row) {
        return new LearnedLocality(row.clone());
    }

    /** Returns the stored form, exactly as it was given to {@link #ofRow}. */
    public double[] toRow() {
        return row.clone();
    }

    /** Returns the concurrency limit: the number of attempts that may be in flight to the locality at once. */
    public double concurrencyLimit() {
        return column(CONCURRENCY_LIMIT);
    }

    /** Returns the recent latency as a multiple of the latency objective. */
    public double latencyRatio() {
        return column(LATENCY_RATIO);
    }

    /** Returns the latency without queueing as a multiple of the latency objective. */
    public double baselineLatencyRatio() {
        return column(BASELINE_LATENCY_RATIO);
    }

    /** Returns the exponentially decayed number of recent responses. */
    public double responseRate() {
        return column(RESPONSE_RATE);
    }

    /** Returns the number of upstreams in the locality; empty for a row of another length, as from a version that did not record it. */
    public OptionalDouble memberCount() {
        return row.length == COLUMNS ? OptionalDouble.of(row[MEMBER_COUNT]) : OptionalDouble.empty();
    }

    /** Returns whether the row has a known length and plausible values, so that it may be applied. */
    public boolean isWellFormed() {
        return (row.length == COLUMNS_WITHOUT_MEMBER_COUNT || row.length == COLUMNS)
                && Arrays.stream(row).allMatch(value -> value >= 0 && value < MAX_VALUE);
    }

    /** Returns this state with another concurrency limit; a row without any column is returned unchanged. */
    public LearnedLocality withConcurrencyLimit(double concurrencyLimit) {
        double[] changed = row.clone();
        if (changed.length > CONCURRENCY_LIMIT) {
            changed[CONCURRENCY_LIMIT] = concurrencyLimit;
        }
        return new LearnedLocality(changed);
    }

    /**
     * Returns this state with concurrency limit and response rate multiplied by a factor. A row that is too short to
     * have both is returned unchanged.
     */
    public LearnedLocality decayed(double factor) {
        double[] changed = row.clone();
        if (changed.length >= COLUMNS_WITHOUT_MEMBER_COUNT) {
            changed[CONCURRENCY_LIMIT] *= factor;
            changed[RESPONSE_RATE] *= factor;
        }
        return new LearnedLocality(changed);
    }

    /** Returns the value of a column; 0 if the row is too short to have it. */
    private double column(int index) {
        return index < row.length ? row[index] : 0;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LearnedLocality that && Arrays.equals(row, that.row);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(row);
    }

    @Override
    public String toString() {
        return Arrays.toString(row);
    }
}
