package gorsestack.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Shows which processes of one balancer run and which of them accept clients, by locks on byte ranges of a file that stays empty. The
 * operating system releases the locks of a process when it ends, even after a crash. Used by {@link Handover} and
 * {@link SharedStateFile} on the handover's thread and, when this process starts and when it starts or stops accepting clients, on the
 * caller's thread.
 *
 * <p>Each process owns a slot of two bytes, in the order in which the processes opened the lock file. The first byte is locked while the
 * process runs, the second one while it accepts clients. One byte behind all slots is a mutex for writes to the shared state file.
 */
final class ProcessPresence {
    private static final long SLOT_BYTES = 2;
    /** Offset of the end of all slots in the lock file. */
    private static final long SLOTS_END = 1L << 40;
    /** Offset of the byte that is locked during writes to the shared state file. */
    private static final long WRITE_LOCK = SLOTS_END;
    /** Distance from the start of this process's slot, in bytes, within which slots are searched for a process that accepts clients. */
    private static final long SEARCHED_BYTES = 16;

    private final Path lockFile;
    /** Channel of the lock file; null until it is open. */
    private volatile FileChannel lockChannel;
    /** Offset of this process's slot in the lock file. */
    private long slot;

    private FileLock acceptingLock;

    ProcessPresence(Path lockFile) {
        this.lockFile = lockFile;
    }

    /** Opens the lock file and locks the first slot behind all locked ones for this process. */
    void open() throws IOException {
        FileChannel channel = FileChannel.open(
                lockFile, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        lockChannel = channel;
        // Without the write lock, two processes that start at once would take the same slot.
        try (FileLock writing = lockForWriting()) {
            slot = slotBehindLocked();
            lockChannel.lock(slot, 1, false);
        } catch (IOException e) {
            lockChannel = null;
            channel.close();
            throw e;
        }
    }

    boolean isOpen() {
        return lockChannel != null;
    }

    /** Locks the shared state file against writes of all other processes of this balancer, until the returned lock is closed. */
    FileLock lockForWriting() throws IOException {
        return lockChannel.lock(WRITE_LOCK, 1, false);
    }

    /** Returns whether a process that opened the lock file earlier runs. */
    boolean predecessorRuns() {
        return slot > 0 && isLocked(0, slot);
    }

    /** Returns whether a process that opened the lock file later runs. */
    boolean successorRuns() {
        return isLocked(nextSlot(), SLOTS_END);
    }

    /** Returns whether a process that opened the lock file earlier accepts clients. */
    boolean predecessorAccepts() {
        return anyAccepts(Math.max(0, slot - SEARCHED_BYTES), slot);
    }

    /** Returns whether a process that opened the lock file later accepts clients. */
    boolean successorAccepts() {
        return anyAccepts(nextSlot(), slot + SEARCHED_BYTES);
    }

    /** Shows other processes that this process accepts clients from now on. */
    void lockAccepting() throws IOException {
        acceptingLock = lockChannel.lock(slot + 1, 1, false);
    }

    /** Shows other processes that this process accepts no more clients. */
    void releaseAccepting() throws IOException {
        if (acceptingLock != null) {
            acceptingLock.release();
        }
    }

    private long nextSlot() {
        return slot + SLOT_BYTES;
    }

    /** Returns the offset of the first slot behind all locked ones. */
    private long slotBehindLocked() throws IOException {
        long low = 0;
        long high = SLOTS_END;
        while (low < high) {
            long middle = (low + high) / 2;
            if (isLocked(middle, SLOTS_END)) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low + low % SLOT_BYTES;
    }

    private boolean anyAccepts(long start, long end) {
        for (long otherSlot = start; otherSlot < end; otherSlot += SLOT_BYTES) {
            if (isLocked(otherSlot + 1, otherSlot + SLOT_BYTES)) {
                return true;
            }
        }
        return false;
    }

    private boolean isLocked(long start, long end) {
        try (FileLock lock = lockChannel.tryLock(start, end - start, false)) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true; // The lock is held by this process.
        } catch (IOException e) {
            return false;
        }
    }
}
