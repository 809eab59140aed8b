package gorsestack.lab.shim;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * Injects faults of the operating system into single processes. The soak compiles the library with this class and starts each process with
 * it preloaded. In a run whose command does not preload the library, the faults have no effect. The library maps a control file, which lies next to the log of the process, and which contains the
 * offset of the wall clock and the calls that fail. Available only where a C compiler is installed. Immutable.
 */
public final class Shim {
    /** A system call that can be made to fail. The order is the same as in the library. */
    public enum SystemCall {
        ACCEPT,
        SOCKET,
        CONNECT,
        READ,
        WRITE,
        EPOLL,
        FILE_WRITE,
        FSYNC,
        RENAME
    }

    /**
     * Errors with which a call can fail. A positive value is an errno of Linux; -1 transfers only a part of the bytes; -2 writes half of
     * the bytes and kills the process.
     */
    private static final Map<String, Integer> ERRORS = Map.ofEntries(
            Map.entry("EINTR", 4),
            Map.entry("EIO", 5),
            Map.entry("EAGAIN", 11),
            Map.entry("ENOMEM", 12),
            Map.entry("ENFILE", 23),
            Map.entry("EMFILE", 24),
            Map.entry("ENOSPC", 28),
            Map.entry("EADDRNOTAVAIL", 99),
            Map.entry("ENETUNREACH", 101),
            Map.entry("ECONNABORTED", 103),
            Map.entry("ENOBUFS", 105),
            Map.entry("ETIMEDOUT", 110),
            Map.entry("EHOSTUNREACH", 113),
            Map.entry("SHORT", -1),
            Map.entry("HALF_AND_DIE", -2));

    private static final int FILE_SIZE = 4096;
    private static final int CLOCK_OFFSET = 0;
    private static final int FAULTS_OFFSET = 16;
    private static final int FAULT_SIZE = 8;

    private final Path library;

    private Shim(Path library) {
        this.library = library;
    }

    /** Compiles the library into a folder. Returns null if there is no C compiler or if it fails. */
    public static Shim build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("faults.c");
        Path library = folder.resolve("faults.so");
        Files.createDirectories(folder);
        try (InputStream in = Shim.class.getResourceAsStream("/shim/faults.c")) {
            Files.write(source, in.readAllBytes());
        }
        try {
            Process compiler = new ProcessBuilder(List.of(
                            "cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString(), "-ldl"))
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("cc.log").toFile())
                    .start();
            return compiler.waitFor() == 0 ? new Shim(library.toAbsolutePath()) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** Returns a shell command that preloads the library into the process that the given command starts. */
    public String command(String command) {
        return "LD_PRELOAD=" + library + " " + command;
    }

    /** Returns whether the shim knows an error with which calls can fail. */
    public static boolean supportsError(String error) {
        return ERRORS.containsKey(error);
    }

    private static Path controlFile(Path log) {
        return log.resolveSibling(log.getFileName() + ".shim");
    }

    /** Creates the control file of a process, without faults. It has to exist before the process starts. */
    public static void createControlFile(Path log) throws IOException {
        Files.write(controlFile(log), new byte[FILE_SIZE]);
    }

    /** Sets the wall clock of the process ahead by a number of seconds or, if that is negative, back. */
    public static void setClockOffset(Path log, double seconds) throws IOException {
        write(
                log,
                CLOCK_OFFSET,
                ByteBuffer.allocate(8)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putLong((long) (seconds * 1e9))
                        .flip());
    }

    /** Makes a fraction of the calls fail with an error from now on. A fraction of 0 ends the fault. */
    @SuppressWarnings("EnumOrdinal") // The ordinal of a call is its position in the control file.
    public static void fail(Path log, SystemCall call, String error, double fraction) throws IOException {
        write(
                log,
                FAULTS_OFFSET + call.ordinal() * FAULT_SIZE,
                ByteBuffer.allocate(FAULT_SIZE)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .putInt(ERRORS.get(error))
                        .putInt((int) Math.round(fraction * 1000))
                        .flip());
    }

    private static void write(Path log, long offset, ByteBuffer bytes) throws IOException {
        if (Files.exists(controlFile(log))) {
            try (FileChannel out = FileChannel.open(controlFile(log), StandardOpenOption.WRITE)) {
                out.write(bytes, offset);
            }
        }
    }
}
