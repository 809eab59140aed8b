package gorsestack.admin;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;

/**
 * Remembers the ids of calls that may have been executed and must not be executed again, for a minute. The processes of one balancer share
 * the table through a mapped file, so that a call that was left at one of them is not executed by another. Its size is fixed: if clients
 * send more calls than it holds, the oldest are forgotten first. Thread-safe.
 *
 * <p>The table has buckets of eight entries. An entry is one long, so that processes change it atomically: 48 bits of the hash of an id, and
 * the second of its last use, modulo 65,536. An entry of 0 is free.
 */
public final class ExecutedCalls {
    /** How long an id is remembered, in seconds: longer than any client waits and any repeat window lasts. */
    private static final int RETENTION_SECONDS = 60;

    private static final int BUCKETS = 4_096;
    private static final int BUCKET_ENTRIES = 8;
    private static final int SIZE_BYTES = BUCKETS * BUCKET_ENTRIES * Long.BYTES;
    private static final int TIME_BITS = 16;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final VarHandle ENTRY = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    private final ByteBuffer table;
    /** A clock in nanoseconds that all processes on this host read alike and that is never set. */
    private final LongSupplier clock;

    private ExecutedCalls(ByteBuffer table, LongSupplier clock) {
        this.table = table;
        this.clock = clock;
    }

    /** Creates an empty table of this process alone. */
    public static ExecutedCalls inMemory() {
        return inMemory(System::nanoTime);
    }

    static ExecutedCalls inMemory(LongSupplier clock) {
        return new ExecutedCalls(ByteBuffer.allocateDirect(SIZE_BYTES), clock);
    }

    /**
     * Opens the table that the processes of one balancer share, and creates its file if needed.
     *
     * @throws IOException if the file cannot be created in full or mapped
     */
    public static ExecutedCalls shared(Path file) throws IOException {
        return shared(file, System::nanoTime);
    }

    static ExecutedCalls shared(Path file, LongSupplier clock) throws IOException {
        try (FileChannel channel = FileChannel.open(
                        file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            // The file is written in full: a mapped page without space on the disk would end the process when it is
            // used.
            ByteBuffer rest = ByteBuffer.allocate((int) Math.max(0, SIZE_BYTES - channel.size()));
            for (long position = channel.size(); rest.hasRemaining(); position += channel.write(rest, position)) {}
            return new ExecutedCalls(channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE_BYTES), clock);
        }
    }

    /** Records a call that may be executed from now on; returns false, and changes nothing, if one with this id is recorded. */
    public boolean add(String id) {
        long hash = hash(id);
        long entry = (hash & ~TIME_MASK) | second();
        while (true) {
            int chosen = chooseEntry(hash);
            long present = (long) ENTRY.getVolatile(table, chosen);
            if (hasHash(present, hash) && age(present) < RETENTION_SECONDS) {
                return false;
            }
            if (ENTRY.compareAndSet(table, chosen, present, entry)) {
                return true;
            }
        }
    }

    /** Forgets a call, as it was not executed and never will be. */
    public void remove(String id) {
        long hash = hash(id);
        int offset = chooseEntry(hash);
        long present = (long) ENTRY.getVolatile(table, offset);
        if (hasHash(present, hash)) {
            ENTRY.compareAndSet(table, offset, present, 0L);
        }
    }

    /** Returns the offset of the entry with this hash or, if there is none, of a free entry or else the oldest of the bucket. */
    private int chooseEntry(long hash) {
        int bucket = (int) (hash & TIME_MASK) % BUCKETS * BUCKET_ENTRIES * Long.BYTES;
        int oldest = bucket;
        long oldestAge = -1;
        for (int offset = bucket; offset < bucket + BUCKET_ENTRIES * Long.BYTES; offset += Long.BYTES) {
            long present = (long) ENTRY.getVolatile(table, offset);
            if (hasHash(present, hash)) {
                return offset;
            }
            long age = present == 0 ? Long.MAX_VALUE : age(present);
            if (age > oldestAge) {
                oldest = offset;
                oldestAge = age;
            }
        }
        return oldest;
    }

    private static boolean hasHash(long entry, long hash) {
        return entry != 0 && (entry & ~TIME_MASK) == (hash & ~TIME_MASK);
    }

    private long age(long entry) {
        return (second() - entry) & TIME_MASK;
    }

    private long second() {
        return Math.floorDiv(clock.getAsLong(), NANOS_PER_SECOND) & TIME_MASK;
    }

    /** Returns the hash of an id (FNV-1a with a final mix): the low bits choose the bucket, the others are stored. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        hash *= 0x9e3779b97f4a7c15L;
        hash ^= hash >>> 29;
        // Without this, a hash whose stored bits are all 0 could not be told from a free entry at second 0.
        return hash | Long.MIN_VALUE;
    }
}
