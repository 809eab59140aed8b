package gorsestack.wire;

/** Nanoseconds since 1970 that never go back: the wall clock is read once, the rest is counted. */
public final class Clock {
    private static final long ANCHOR = System.currentTimeMillis() * 1_000_000 - System.nanoTime();

    private Clock() { }

    public static long now() {
        return ANCHOR + System.nanoTime();
    }

    /** Unix milliseconds on this clock; 0 stays 0, for long ago. */
    static long ofUnixMillis(long millis) {
        return millis * 1_000_000;
    }
}
