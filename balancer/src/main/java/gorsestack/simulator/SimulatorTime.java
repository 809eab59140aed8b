package gorsestack.simulator;

/** Converts between the simulator's milliseconds and the policy's nanoseconds. Stateless and thread-safe. */
final class SimulatorTime {
    private static final double NANOS_PER_MILLI = 1e6;

    private SimulatorTime() {}

    /** Returns the time in nanoseconds, rounded to the nearest one. */
    static long nanos(double millis) {
        return Math.round(millis * NANOS_PER_MILLI);
    }

    static double millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }
}
