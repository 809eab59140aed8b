package gorsestack.recovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Origin of a process's clock, by which another process converts the times that the first one has stored. Immutable; used by the server,
 * the handover and {@link SnapshotStore} on any thread.
 *
 * <p>A process's event loop reads the wall clock once, at the start, and derives its later times from the monotonic clock. If the wall
 * clock was set between the starts of two processes, their clocks differ. The difference follows from the operating system's monotonic
 * clock, which all processes share until the next boot.
 *
 * @param boot identifier of the operating system's boot; empty where it is not available
 * @param offset the process's time at the zero of the monotonic clock, in nanoseconds since 1970
 */
public record ClockOrigin(String boot, long offset) {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    /** Origin of an unknown clock, whose times are not converted. */
    public static final ClockOrigin UNKNOWN = new ClockOrigin("", 0);

    /**
     * Returns the origin of this process's clock, or {@link #UNKNOWN} if the identifier of the boot cannot be read.
     *
     * @param now the current time of this process's clock, in nanoseconds since 1970
     */
    public static ClockOrigin ofThisProcess(long now) {
        long offset = now - System.nanoTime();
        try {
            return new ClockOrigin(Files.readString(BOOT_ID).strip(), offset);
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the nanoseconds to add to a time of the other clock; 0 if the two clocks cannot be compared. */
    long shiftFrom(ClockOrigin other) {
        boolean comparable = !boot.isEmpty() && boot.equals(other.boot);
        return comparable ? offset - other.offset : 0;
    }
}
