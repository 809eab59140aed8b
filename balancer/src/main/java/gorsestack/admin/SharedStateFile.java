package gorsestack.admin;

import gorsestack.decision.LearnedLocality;
import gorsestack.recovery.ClockOrigin;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.SnapshotStore;
import gorsestack.wire.EventLoop;
import java.io.IOException;
import java.nio.channels.FileLock;
import java.util.List;

/**
 * State file that all processes of one balancer read and write. It holds maintenance orders, learned state and the endpoint snapshot. A
 * write first merges the content of the file, under a lock, so that no process overwrites changes of another one. Used by {@link Handover}
 * on the handover's thread; loaded the first time on the thread that creates the handover.
 */
final class SharedStateFile {
    private static final System.Logger LOG = System.getLogger("gorsestack.handover");

    private final String balancerName;
    private final SnapshotStore store;
    private final ClockOrigin clock;
    private final ProcessPresence presence;
    private final MaintenanceOrders orders;
    private final EventLoop eventLoop;
    private final Runnable onMerged;
    private List<LearnedLocality> learned = List.of();
    private long learnedAt;
    private PersistentState.EndpointSnapshot endpointSnapshot;
    private long incarnation;

    /**
     * Creates an empty state; nothing is read or written yet.
     *
     * @param onMerged called each time after the state of another copy was merged
     */
    SharedStateFile(
            String balancerName,
            SnapshotStore store,
            ClockOrigin clock,
            ProcessPresence presence,
            MaintenanceOrders orders,
            EventLoop eventLoop,
            Runnable onMerged) {
        this.balancerName = balancerName;
        this.store = store;
        this.clock = clock;
        this.presence = presence;
        this.orders = orders;
        this.eventLoop = eventLoop;
        this.onMerged = onMerged;
    }

    List<LearnedLocality> learned() {
        return learned;
    }

    /** Sets the learned state that is written next, with the time at which it was exported. */
    void setLearned(List<LearnedLocality> exported, long exportedAt) {
        learned = exported;
        learnedAt = exportedAt;
    }

    PersistentState.EndpointSnapshot endpointSnapshot() {
        return endpointSnapshot;
    }

    void setEndpointSnapshot(PersistentState.EndpointSnapshot snapshot) {
        endpointSnapshot = snapshot;
    }

    /** Raises the incarnation, which never decreases. Copies with a higher incarnation replace the endpoint snapshot. */
    void raiseIncarnation(long minIncarnation) {
        incarnation = Math.max(incarnation, minIncarnation);
    }

    /**
     * Merges the content of the file, applies a change and writes the result, all under the lock.
     *
     * @return whether the result is on the disk; if not, the change may not have been applied either
     */
    boolean update(Runnable change) {
        if (!presence.isOpen()) {
            return false;
        }
        try (FileLock writing = presence.lockForWriting()) {
            refresh();
            change.run();
            orders.removeExpired(eventLoop.now());
            store.save(new PersistentState(
                    balancerName,
                    incarnation,
                    eventLoop.now(),
                    orders.all(),
                    learned,
                    learnedAt,
                    endpointSnapshot,
                    clock));
            orders.markSaved();
            return true;
        } catch (IOException e) {
            // If the write failed, the store has logged the first of consecutive failures as a warning.
            LOG.log(System.Logger.Level.DEBUG, "shared_state_write_failed error={0}", e.toString());
            return false;
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.WARNING, "shared_state_write_failed retry=true", e);
            return false;
        }
    }

    /**
     * Writes the current state.
     *
     * @return whether the state is on the disk
     */
    boolean save() {
        return update(() -> {});
    }

    /** Merges the content of the file if another process has changed it. */
    void refresh() {
        if (store.changed()) {
            merge(store.load());
        }
    }

    /** Merges the content of the file. */
    void load() {
        merge(store.load());
    }

    /**
     * Merges the state of another copy: each part that is later, and any endpoint snapshot if there is none here, replaces the one held
     * here.
     */
    void merge(PersistentState other) {
        orders.merge(other.maintenanceOrders());
        if (other.learnedAt() > learnedAt) {
            learned = other.learned();
            learnedAt = other.learnedAt();
        }
        if (other.incarnation() > incarnation || endpointSnapshot == null) {
            endpointSnapshot = other.endpointSnapshot();
        }
        raiseIncarnation(other.incarnation());
        onMerged.run();
    }
}
