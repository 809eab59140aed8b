package gorsestack.recovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process's clock counts from, so that another process can read its times. A process reads the wall clock once, at its start, and
 * counts on from there; the wall clock may have been set in between, so two processes may be an hour apart. The system's monotonic clock is
 * one for all processes since its boot, and tells by how much.
 *
 * @param boot names the boot of the system; empty where it cannot be had
 * @param offset nanoseconds from the monotonic clock's zero back to 1970, as that process has it
 */
public record ClockOrigin(String boot, long offset) {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    /** Nothing is known of the clock: its times are taken as they are. */
    public static final ClockOrigin UNKNOWN = new ClockOrigin("", 0);

    /** That of this process, whose clock says now. */
    public static ClockOrigin here(long now) {
        long offset = now - System.nanoTime();
        try {
            return new ClockOrigin(Files.readString(BOOT_ID).strip(), offset);
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** What has to be added to a time of the other clock to have it on this one; 0 where that is not known. */
    long shiftFrom(ClockOrigin other) {
        boolean comparable = !boot.isEmpty() && boot.equals(other.boot);
        return comparable ? offset - other.offset : 0;
    }
}
