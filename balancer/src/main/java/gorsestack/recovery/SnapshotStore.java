package gorsestack.recovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores a balancer's state in files so that a crash at any step leaves a complete copy. A new copy is written to a separate file, then
 * replaces the current one, and the previous one stays as a backup. Used by the handover on its own thread and once by the server at the
 * start; not used on the event loop's thread, as it blocks on disk I/O.
 */
public final class SnapshotStore {
    /** Maximum size of a file in bytes. This program writes no larger one: 2,000 upstreams take 0.5 MB. */
    static final int MAX_BYTES = 8 << 20;

    private static final byte[] NO_BYTES = {};

    private final Storage storage;
    private final String file;
    private final boolean durable;
    private final Consumer<String> warn;
    private final ClockOrigin clock;
    /** Content of the current copy when it was last read or written by this store; empty if it did not exist. */
    private byte[] lastSeenBytes = NO_BYTES;
    /** Whether the last write failed. */
    private boolean failing;

    /**
     * Creates a store for a process whose clock is unknown; times are read unchanged.
     *
     * @param durable whether the state must survive a crash of the host, so that each write waits for the disk
     * @param warn receives a line for each copy that cannot be used and for the first of consecutive failed writes
     */
    public SnapshotStore(Storage storage, String file, boolean durable, Consumer<String> warn) {
        this(storage, file, durable, warn, ClockOrigin.UNKNOWN);
    }

    /** Creates a store that converts the times it reads from the clock of the process that wrote them to the given clock. */
    public SnapshotStore(Storage storage, String file, boolean durable, Consumer<String> warn, ClockOrigin clock) {
        this.clock = clock;
        this.storage = storage;
        this.file = file;
        this.durable = durable;
        this.warn = warn;
    }

    private String backupFile() {
        return file + ".old";
    }

    private String newFile() {
        return file + ".new";
    }

    /** Returns whether the current copy has changed since this store last read or wrote it. */
    public boolean changed() {
        try {
            byte[] current = storage.read(file);
            return !Arrays.equals(current == null ? NO_BYTES : current, lastSeenBytes);
        } catch (IOException e) {
            return false; // load() reports the error.
        }
    }

    /** Returns the latest complete copy with the maintenance orders of all copies merged. Copies that do not exist are skipped. */
    public PersistentState load() {
        PersistentState latest = PersistentState.NONE;
        Map<String, PersistentState.MaintenanceOrder> orders = Map.of();
        for (StateCodec.DecodedState copy : readSnapshots()) {
            PersistentState state = copy.state().convertedTo(clock);
            orders = PersistentState.merged(orders, state.maintenanceOrders());
            if (copy.complete() && isLater(state, latest)) {
                latest = state;
            }
        }
        return latest.with(orders);
    }

    private static boolean isLater(PersistentState state, PersistentState other) {
        return state.incarnation() > other.incarnation()
                || (state.incarnation() == other.incarnation() && state.writtenAt() > other.writtenAt());
    }

    private List<StateCodec.DecodedState> readSnapshots() {
        List<StateCodec.DecodedState> snapshots = new ArrayList<>();
        for (String copy : List.of(file, newFile(), backupFile())) {
            try {
                byte[] bytes = storage.read(copy);
                if (copy.equals(file)) {
                    lastSeenBytes = bytes == null ? NO_BYTES : bytes;
                }
                if (bytes != null) {
                    snapshots.add(decode(copy, bytes));
                }
            } catch (IOException e) {
                warn.accept("snapshot_unreadable file=" + copy + " error=" + e);
            }
        }
        return snapshots;
    }

    private StateCodec.DecodedState decode(String copy, byte[] bytes) {
        StateCodec.DecodedState read = bytes.length > MAX_BYTES
                ? StateCodec.DecodedState.damaged(PersistentState.NONE, "it is too large")
                : StateCodec.read(new String(bytes, StandardCharsets.UTF_8));
        // A crash during a write leaves an incomplete new copy, whose content has not been acknowledged to an operator.
        if (!read.complete() && !copy.equals(newFile())) {
            warn.accept("snapshot_damaged file=" + copy + " error=" + read.damage());
        }
        return read;
    }

    /**
     * Replaces the current copy with the given state.
     *
     * @throws IOException if the state could not be written; the previous state can then still be loaded
     */
    public void save(PersistentState state) throws IOException {
        try {
            byte[] bytes = StateCodec.write(state).getBytes(StandardCharsets.UTF_8);
            replaceCurrent(bytes);
            lastSeenBytes = bytes;
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                warn.accept(file + " could not be written, any previous copy is kept: " + e);
            }
            throw e;
        }
    }

    private void replaceCurrent(byte[] bytes) throws IOException {
        storage.write(newFile(), bytes);
        if (durable) {
            storage.sync(newFile());
        }
        if (storage.read(file) != null) {
            storage.rename(file, backupFile());
        }
        storage.rename(newFile(), file);
        if (durable) {
            storage.syncFolder();
        }
    }
}
