package gorsestack.fleet;

import gorsestack.recovery.Storage;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** A simulated disk in memory. A crash keeps all synced bytes of a file, and a random number of the bytes after them. */
public final class CrashingStorage implements Storage {
    private final Map<String, byte[]> files = new HashMap<>();
    private final Map<String, Integer> syncedLengths = new HashMap<>();
    private final DoubleSupplier random;
    /** Whether the disk is full: each write stores a random number of its bytes and fails, and each sync fails. */
    public boolean full;
    /** Whether syncs report success without doing anything, as a faulty disk or a program that does not sync. */
    public boolean ignoresSync;

    /**
     * Creates an empty disk.
     *
     * @param random uniformly distributed numbers from 0 to 1, for the bytes that a crash or a failed write keeps
     */
    public CrashingStorage(DoubleSupplier random) {
        this.random = random;
    }

    @Override
    public byte[] read(String file) {
        byte[] content = files.get(file);
        return content == null ? null : content.clone();
    }

    private void put(String file, byte[] existing, byte[] added) throws IOException {
        int stored = full ? (int) (random.getAsDouble() * added.length) : added.length;
        byte[] content = Arrays.copyOf(existing, existing.length + stored);
        System.arraycopy(added, 0, content, existing.length, stored);
        files.put(file, content);
        if (full) {
            throw new IOException("No space left on device");
        }
    }

    @Override
    public void write(String file, byte[] bytes) throws IOException {
        syncedLengths.put(file, 0);
        put(file, new byte[0], bytes);
    }

    @Override
    public void append(String file, byte[] bytes) throws IOException {
        put(file, files.getOrDefault(file, new byte[0]), bytes);
    }

    @Override
    public void sync(String file) throws IOException {
        if (full) {
            throw new IOException("Input/output error");
        }
        if (!ignoresSync) {
            syncedLengths.put(file, files.get(file).length);
        }
    }

    @Override
    public void rename(String from, String to) {
        files.put(to, files.remove(from));
        syncedLengths.put(to, syncedLengths.remove(from));
    }

    @Override
    public void syncFolder() throws IOException {
        if (full) {
            throw new IOException("Input/output error");
        }
    }

    /** Simulates a crash of the process that uses the disk; the disk is no longer full after it. */
    public void crash() {
        full = false;
        files.replaceAll((file, content) -> {
            int syncedLength = syncedLengths.getOrDefault(file, 0);
            return Arrays.copyOf(
                    content, syncedLength + (int) (random.getAsDouble() * (content.length - syncedLength)));
        });
    }
}
