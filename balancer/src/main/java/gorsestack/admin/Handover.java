package gorsestack.admin;

import gorsestack.decision.LearnedLocality;
import gorsestack.decision.SeededRandom;
import gorsestack.recovery.ClockOrigin;
import gorsestack.recovery.FileStorage;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.SnapshotStore;
import gorsestack.wire.EventLoop;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Shares state between two processes of one balancer during an upgrade, and stores it for the next process. Maintenance orders, learned
 * state and the endpoint snapshot are in a shared file; file locks show whether another process runs. Created by the server package. Files
 * are accessed on a separate thread, except by the constructor, {@link #startAccepting} and {@link #stopAccepting}. These three and
 * {@link #successorAccepts} must not be called on the event loop's thread, as they block.
 */
public final class Handover {
    /** Receives changes by other processes, and provides the state of this process. Called on the event loop's thread. */
    public interface Listener {
        /**
         * Called with each maintenance order that was given to another process of this balancer, loaded at the start or restored from a
         * peer, if this process did not know it.
         *
         * @param endedAt time at which the upstream was put back into service, or NOT_ENDED while it is in maintenance
         */
        void onMaintenanceOrder(String upstream, long endedAt);

        /** Called when another process of this balancer starts or ends, or starts or stops accepting clients. */
        void otherProcessChanged(boolean otherRuns, boolean otherAccepts);

        /** Returns the learned state of this process, by locality. */
        List<LearnedLocality> exportLearned();

        /** Called with the learned state of this process's predecessor. */
        void restoreLearned(List<LearnedLocality> learned);

        /** Called with all maintenance orders after each change. */
        default void ordersChanged(Map<String, PersistentState.MaintenanceOrder> orders) {}

        /** Returns the endpoint snapshot for the next process; null if it is not stored, or if no list was confirmed yet. */
        default PersistentState.EndpointSnapshot endpointSnapshot() {
            return null;
        }
    }

    /** Value of a maintenance order's end while the upstream is in maintenance. */
    public static final long NOT_ENDED = PersistentState.NOT_ENDED;

    private static final System.Logger LOG = System.getLogger("gorsestack.handover");
    /** Interval between checks for other processes, in milliseconds; a tenth of the shortest usual shutdown grace period, 2 s. */
    private static final long CHECK_INTERVAL_MS = 200;
    /**
     * Interval between snapshots in milliseconds. Prevents a disk write for each endpoint update of a release; a snapshot is on the disk at
     * most a second late.
     */
    private static final long SNAPSHOT_INTERVAL_MS = 1_000;
    /**
     * Interval in nanoseconds at which an unchanged endpoint snapshot is written again, with the time of its last confirmation. Learned
     * state decays by a third in this time where the slow start takes 20 s.
     */
    private static final long UNCHANGED_SNAPSHOT_INTERVAL_NANOS = 2_000_000_000L;

    private final EventLoop eventLoop;
    private final Listener listener;
    private final String name;
    private final ProcessPresence presence;
    private final MaintenanceOrders orders;
    private final SharedStateFile file;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread handoverThread = new Thread(task, "handover");
        handoverThread.setDaemon(true);
        return handoverThread;
    });
    private boolean otherProcessRuns;
    private boolean otherProcessAccepts;
    private boolean successorRuns;
    private boolean awaitsPredecessorState;
    /** Time of the last snapshot; before the first one, a time long ago that does not overflow in sums. */
    private long snapshotWrittenAt = Long.MIN_VALUE / 2;

    private volatile boolean accepting;
    private volatile boolean successorAccepts;

    /**
     * Loads the shared state and takes a slot in the lock file, which is retried if it fails.
     *
     * @param folder folder that both processes use
     * @param name name that distinguishes this balancer from others that use the folder
     * @param durable whether the state must survive a crash of the host, not only of the process
     */
    public Handover(Path folder, String name, boolean durable, EventLoop eventLoop, Listener listener) {
        this.eventLoop = eventLoop;
        this.listener = listener;
        this.name = name;
        ClockOrigin clock = ClockOrigin.ofThisProcess(eventLoop.now());
        presence = new ProcessPresence(folder.resolve(fileName(name) + ".lock"));
        orders = new MaintenanceOrders(eventLoop, listener);
        SnapshotStore store = store(folder, name, durable, clock);
        file = new SharedStateFile(name, store, clock, presence, orders, eventLoop, this::restoreLearned);
        try {
            presence.open();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "shared_state_unavailable retry=true error={0}", e.toString());
        }
        otherProcessRuns = presence.isOpen() && presence.predecessorRuns();
        otherProcessAccepts = otherProcessRuns;
        file.load();
    }

    private static String fileName(String name) {
        return "gorsestack-" + URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    /**
     * Creates a store of a balancer's state.
     *
     * @param durable whether the state must survive a crash of the host, not only of the process
     */
    public static SnapshotStore store(Path folder, String name, boolean durable, ClockOrigin clock) {
        return new SnapshotStore(
                new FileStorage(folder),
                fileName(name) + ".state",
                durable,
                warning -> LOG.log(System.Logger.Level.WARNING, "{0}", warning),
                clock);
    }

    /**
     * Opens the table of executed calls that a balancer's processes share. Without the file, for instance on a full disk, the table is that
     * of this process alone.
     */
    public static ExecutedCalls executedCalls(Path folder, String name) {
        try {
            return ExecutedCalls.shared(folder.resolve(fileName(name) + ".calls"));
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "executed_calls_not_shared error={0}", e.toString());
            return ExecutedCalls.inMemory();
        }
    }

    /** Runs a periodic task and logs what it throws. Without this, the scheduler silently cancels a task at its first exception. */
    private static void guarded(String task, Runnable run) {
        try {
            run.run();
        } catch (RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "handover_task_failed retry=true task=" + task, e);
        }
    }

    /**
     * Starts to write the endpoint snapshot and learned state periodically, for a process that starts after this one has ended. While a
     * successor runs, no snapshot is written.
     */
    public void startSnapshots(long incarnation) {
        thread.execute(() -> file.raiseIncarnation(incarnation));
        // The jitter prevents a fleet that is started at once on one disk from writing at the same moments.
        double jitter = new SeededRandom(incarnation ^ name.hashCode()).next();
        long firstDelay = SNAPSHOT_INTERVAL_MS / 2 + (long) (SNAPSHOT_INTERVAL_MS * jitter);
        thread.scheduleWithFixedDelay(
                () -> eventLoop.execute(() -> {
                    PersistentState.EndpointSnapshot endpoints = listener.endpointSnapshot();
                    List<LearnedLocality> learned = listener.exportLearned();
                    long now = eventLoop.now();
                    thread.execute(() -> guarded("write_snapshot", () -> writeSnapshot(endpoints, learned, now)));
                }),
                firstDelay,
                SNAPSHOT_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void writeSnapshot(PersistentState.EndpointSnapshot endpoints, List<LearnedLocality> learned, long now) {
        if (endpoints == null || successorRuns) {
            return;
        }
        PersistentState.EndpointSnapshot written = file.endpointSnapshot();
        boolean changed = written == null
                || endpoints.index() != written.index()
                || !endpoints.discovery().equals(written.discovery());
        if (changed || now >= snapshotWrittenAt + UNCHANGED_SNAPSHOT_INTERVAL_NANOS) {
            snapshotWrittenAt = now;
            file.update(() -> {
                file.setEndpointSnapshot(endpoints);
                file.setLearned(learned, now);
            });
        }
    }

    /** Returns whether another process of this balancer was running when this one started; to be called before {@link #start}. */
    public boolean hasPredecessor() {
        return otherProcessRuns;
    }

    /**
     * Returns whether a later process of this balancer accepts clients. Waits for a new check on the handover's thread, for at most 200 ms,
     * as this process may be asked to shut down just after the other one has opened its listener, before the next periodic check.
     */
    public boolean successorAccepts() {
        try {
            thread.submit(this::checkOtherProcesses).get(CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(System.Logger.Level.WARNING, "successor_check_failed error={0}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return successorAccepts;
    }

    /** Starts to check periodically for other processes of this balancer. */
    public void start() {
        awaitsPredecessorState = true;
        thread.scheduleWithFixedDelay(
                () -> guarded("check_other_processes", this::checkOtherProcesses),
                0,
                CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Records that this process accepts clients from now on. */
    public void startAccepting() {
        accepting = true;
        if (presence.isOpen()) {
            try {
                presence.lockAccepting();
            } catch (IOException e) {
                LOG.log(System.Logger.Level.WARNING, "accepting_lock_failed error={0}", e.toString());
            }
        }
    }

    /** Records that this process accepts no more clients. */
    public void stopAccepting() {
        accepting = false;
        try {
            presence.releaseAccepting();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "accepting_unlock_failed error={0}", e.toString());
        }
    }

    private void checkOtherProcesses() {
        if (!presence.isOpen() && !reopened()) {
            return;
        }
        if (orders.unsaved()) {
            file.save();
        }
        boolean ranBefore = otherProcessRuns;
        boolean acceptedBefore = otherProcessAccepts;
        checkSuccessor();
        otherProcessAccepts = successorAccepts || presence.predecessorAccepts();
        otherProcessRuns = successorRuns || presence.predecessorRuns();
        if (otherProcessRuns != ranBefore || otherProcessAccepts != acceptedBefore) {
            boolean runs = otherProcessRuns;
            boolean accepts = otherProcessAccepts;
            eventLoop.execute(() -> listener.otherProcessChanged(runs, accepts));
        }
        if (otherProcessRuns != ranBefore) {
            LOG.log(System.Logger.Level.INFO, "other_process running={0}", otherProcessRuns);
        }
        if (otherProcessRuns || ranBefore) {
            file.refresh();
        }
    }

    private void checkSuccessor() {
        boolean ranBefore = successorRuns;
        boolean runs = presence.successorRuns();
        if (runs && !ranBefore) {
            exportLearned();
        }
        successorRuns = runs;
        // While the successor does not accept clients yet, this process has to serve them.
        successorAccepts = runs && presence.successorAccepts();
    }

    /**
     * Retries to open a lock file that could not be opened at the start.
     *
     * @return whether the lock file is open now
     */
    private boolean reopened() {
        try {
            presence.open();
            LOG.log(System.Logger.Level.INFO, "shared_state_available");
            if (accepting) {
                startAccepting();
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes the learned state of this process for a successor that has just started. */
    private void exportLearned() {
        eventLoop.execute(() -> {
            List<LearnedLocality> learned = listener.exportLearned();
            thread.execute(() -> file.update(() -> file.setLearned(learned, eventLoop.now())));
        });
    }

    /**
     * Passes the learned state of a running predecessor to the listener, once. The conditions exclude state of an earlier upgrade, which is
     * read before the predecessor has detected this process, and state that is read again later.
     */
    private void restoreLearned() {
        if (awaitsPredecessorState
                && otherProcessRuns
                && !successorRuns
                && !file.learned().isEmpty()) {
            awaitsPredecessorState = false;
            List<LearnedLocality> learned = file.learned();
            eventLoop.execute(() -> listener.restoreLearned(learned));
        }
    }

    /** Restores maintenance orders that a peer has stored for this balancer, which may have lost its own copy. */
    public void restoreOrders(Map<String, PersistentState.MaintenanceOrder> replicated) {
        thread.execute(() -> {
            Map<String, PersistentState.MaintenanceOrder> unknown = orders.unknownAmong(replicated);
            if (!unknown.isEmpty()) {
                LOG.log(System.Logger.Level.INFO, "maintenance_restored_from_peer upstreams={0}", unknown.keySet());
                file.merge(PersistentState.NONE.with(unknown));
                file.save();
            }
        });
    }

    /** Raises the incarnation of this process to the given one, which is above one that a peer has seen, and stores it. */
    public void raiseIncarnation(long incarnation) {
        thread.execute(() -> {
            file.raiseIncarnation(incarnation);
            file.save();
        });
    }

    /**
     * Records a maintenance order, then reports whether all orders are on the disk. Without this, an operator could get an acknowledgement
     * of an order that is lost when this process crashes. A failed write is retried until the order is on the disk.
     *
     * @param endedAt time at which the upstream was put back into service, or NOT_ENDED
     * @param onSaved called on the event loop's thread with whether all orders are on the disk
     */
    public void order(String upstream, long endedAt, Consumer<Boolean> onSaved) {
        long now = eventLoop.now();
        thread.execute(() -> {
            orders.markUnsaved();
            if (!file.update(() -> orders.put(upstream, endedAt, now))) {
                orders.put(upstream, endedAt, now);
            }
            orders.notifyOfAll();
            reportSaved(onSaved);
        });
    }

    /**
     * Reads the orders that another process of this balancer has stored since the last check, and passes them to the listener.
     *
     * @param onRead called on the event loop's thread afterwards, also if the file cannot be read
     */
    public void readOrders(Runnable onRead) {
        thread.execute(() -> {
            guarded("read_orders", file::refresh);
            eventLoop.execute(onRead);
        });
    }

    /** Reports whether all maintenance orders are on the disk. If they are not, the write is retried once first. */
    public void confirmSaved(Consumer<Boolean> onSaved) {
        thread.execute(() -> {
            if (orders.unsaved()) {
                file.save();
            }
            reportSaved(onSaved);
        });
    }

    private void reportSaved(Consumer<Boolean> onSaved) {
        boolean saved = !orders.unsaved();
        eventLoop.execute(() -> onSaved.accept(saved));
    }
}
