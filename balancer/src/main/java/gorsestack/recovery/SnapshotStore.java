package gorsestack.recovery;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stores a balancer's state in a state file so that a crash at any step leaves a complete copy. A new copy is written to a separate file
 * and then becomes the current one; the previous one stays as a backup. Used by the handover on its own thread and on the thread that
 * creates the handover, and once by the server at the start; not used on the event loop's thread, as it blocks on disk I/O.
 */
public final class SnapshotStore {
    /**
     * Maximum size in bytes of a copy that is read; a larger one counts as damaged. A save does not check the size, but is not expected to
     * write a larger copy: 2,000 upstreams take 0.5 MB.
     */
    static final int MAX_BYTES = 8 << 20;

    private static final byte[] NO_BYTES = {};

    private final Storage storage;
    private final String file;
    private final boolean durable;
    private final Consumer<String> warn;
    private final ClockOrigin clock;
    /** Content of the current copy when this store last loaded or saved it; empty if it did not exist. */
    private byte[] lastSeenBytes = NO_BYTES;
    /** Whether the last write failed. */
    private boolean failing;

    /**
     * Creates a store for a process whose clock is unknown; times are read unchanged.
     *
     * @param durable whether the state must survive a crash of the host, so that each write waits for the disk
     * @param warn receives a line for each copy that is unreadable or damaged, except an incomplete new copy, and for the first of
     *     consecutive failed writes
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

    /** Returns whether the current copy has changed since this store last loaded or saved it; false if it cannot be read. */
    public boolean changed() {
        try {
            byte[] current = storage.read(file);
            return !Arrays.equals(current == null ? NO_BYTES : current, lastSeenBytes);
        } catch (IOException e) {
            return false; // The caller does not load the copy then, so this error is not logged.
        }
    }

    /**
     * Returns the state of the latest complete copy, with the maintenance orders of all copies merged, including those that can be read
     * from damaged ones. Without a complete copy it returns only the orders. Copies that do not exist or cannot be read are skipped.
     */
    public PersistentState load() {
        PersistentState latest = PersistentState.NONE;
        Map<String, PersistentState.MaintenanceOrder> orders = Map.of();
        for (StateCodec.DecodedState copy : readCopies()) {
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

    private List<StateCodec.DecodedState> readCopies() {
        List<StateCodec.DecodedState> copies = new ArrayList<>();
        for (String copyFile : List.of(file, newFile(), backupFile())) {
            try {
                byte[] bytes = storage.read(copyFile);
                if (copyFile.equals(file)) {
                    lastSeenBytes = bytes == null ? NO_BYTES : bytes;
                }
                if (bytes != null) {
                    copies.add(decode(copyFile, bytes));
                }
            } catch (IOException e) {
                warn.accept("snapshot_unreadable file=" + copyFile + " error=" + e);
            }
        }
        return copies;
    }

    private StateCodec.DecodedState decode(String copyFile, byte[] bytes) {
        StateCodec.DecodedState read = bytes.length > MAX_BYTES
                ? StateCodec.DecodedState.damaged(PersistentState.NONE, "it is too large")
                : StateCodec.read(new String(bytes, StandardCharsets.UTF_8));
        // A crash during a write leaves an incomplete new copy, whose content has not been acknowledged to an operator.
        if (!read.complete() && !copyFile.equals(newFile())) {
            warn.accept("snapshot_damaged file=" + copyFile + " error=" + read.damage());
        }
        return read;
    }

    /**
     * Replaces the current copy with the given state.
     *
     * @throws IOException if the state could not be written; a complete state, the previous or the new one, can then still be loaded if
     *     there was a previous one
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
