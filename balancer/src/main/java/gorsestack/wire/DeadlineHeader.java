package gorsestack.wire;

import java.math.BigDecimal;

/**
 * Parses and formats the header that states how long a caller will still wait for its response: a number with the unit m (milliseconds) or
 * u (microseconds). Stateless.
 */
final class DeadlineHeader {
    static final String NAME = "X-Time-Left";
    /** Value that {@link #read} returns if the header is absent. */
    static final long ABSENT = -1;

    private DeadlineHeader() {}

    /** Parses the header's value into nanoseconds; returns {@link #ABSENT} for null. */
    static long read(String value) throws MalformedMessageException {
        if (value == null) {
            return ABSENT;
        }
        if (!value.matches("[0-9]{1,12}(\\.[0-9]{1,9})?[mu]")) {
            throw new MalformedMessageException(400, NAME + " must be a number and m or u");
        }
        int unitAt = value.length() - 1;
        return new BigDecimal(value.substring(0, unitAt))
                .movePointRight(value.charAt(unitAt) == 'm' ? 6 : 3)
                .longValue();
    }

    /** Formats nanoseconds as microseconds; a negative number, for a deadline that has passed, becomes 0. */
    static String write(long nanos) {
        return Math.max(0, nanos / 1000) + "u";
    }
}
