package gorsestack.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.decision.BalancingPolicy;
import gorsestack.decision.EndpointUpdate;
import gorsestack.decision.LearnedLocality;
import gorsestack.recovery.PersistentState;
import gorsestack.recovery.RecoveryPhase;
import gorsestack.recovery.RecoveryProgress;
import gorsestack.recovery.RestartStormDetector;
import gorsestack.recovery.RestorePolicy;
import gorsestack.settings.Limits;
import gorsestack.wire.DiscoveryWatch;
import gorsestack.wire.EventLoop;
import gorsestack.wire.WatchEvent;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Coordinates the recovery of this balancer after a restart: restores the endpoint list that an earlier process persisted, reduces restored
 * concurrency limits if the fleet of upstreams has shrunk since, throttles when many balancers restart at once, tracks the progress, and
 * reports these in the status document. Each part is active only if it is configured. Used by {@link CallDispatcher} and the server. Owned
 * by the event loop's thread; {@link #cacheList} is called on the main thread during the start.
 */
public final class RecoveryCoordinator {
    private static final System.Logger LOG = CallTrace.LOG;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final BalancingPolicy policy;
    private final DiscoveryWatch discovery;
    private final Consumer<WatchEvent> watchEventHandler;
    private PeerChannel peerChannel;
    private EndpointCache endpointCache;
    /** The learned state of an earlier process, kept until discovery has delivered the current list; null if there is none. */
    private List<LearnedLocality> persistedLearned;
    /** The earliest time at which discovery is polled while a persisted list is in use; 0 if there is no such limit. */
    private long firstPollAt;

    private RecoveryProgress progress;
    private RestartStormDetector stormDetector;
    /** The degree to which clients' retries are spread out, from 0 to 1, as the storm detector sets it. */
    private double throttleLevel;

    RecoveryCoordinator(
            EventLoop eventLoop,
            Limits limits,
            BalancingPolicy policy,
            DiscoveryWatch discovery,
            Consumer<WatchEvent> watchEventHandler) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.policy = policy;
        this.discovery = discovery;
        this.watchEventHandler = watchEventHandler;
    }

    void setPeerChannel(PeerChannel channel) {
        peerChannel = channel;
    }

    // Events.

    void onCall(long now, boolean retriedByClient) {
        if (stormDetector != null) {
            stormDetector.onRequest(now, retriedByClient);
        }
    }

    void onDiscoveryRejection() {
        if (stormDetector != null) {
            stormDetector.onDiscoveryRejection();
        }
    }

    /** Handles a watch event before the policy does. */
    void onWatchEvent(WatchEvent event) {
        if (endpointCache != null) {
            endpointCache.onWatchEvent(event);
        }
        if (progress != null && event.update().kind() != EndpointUpdate.Kind.CACHED) {
            progress.onListReceived(eventLoop.now());
        }
    }

    /** Handles a watch event after the policy has. */
    void afterPolicyUpdate(WatchEvent event, long now) {
        if (persistedLearned != null && event.update().kind() != EndpointUpdate.Kind.CACHED) {
            List<LearnedLocality> rows = RestorePolicy.limitsReducedToMembers(persistedLearned, policy.exportLearned());
            persistedLearned = null;
            if (rows != null) {
                LOG.log(System.Logger.Level.INFO, "fleet_shrunk concurrency_limits=reduced");
                policy.restoreLearned(now, rows);
            }
        }
    }

    void onResponse(boolean fulfilled) {
        if (progress != null) {
            progress.onResponse(eventLoop.now(), fulfilled);
        }
    }

    /** Records that clients' calls are accepted from now on. */
    void onReady() {
        if (progress != null) {
            progress.onAcceptingClients(eventLoop.now());
        }
    }

    // The endpoint list.

    /** Starts a watch of the endpoint list, unless a persisted list is in use and discovery is to be polled later. */
    void watch() {
        if (eventLoop.now() >= firstPollAt) {
            discovery.watch();
        }
    }

    /** Starts a watch of the endpoint list now, even if discovery was to be polled later. */
    public void pollNow() {
        firstPollAt = 0;
        discovery.watch();
    }

    /** Caches the list for the next process; called before the first watch event. */
    public void cacheList() {
        endpointCache = new EndpointCache();
    }

    /** Returns the version of the current list. */
    public long listIndex() {
        return discovery.index();
    }

    /** Returns the list that {@link #cacheList} caches, with the time of its last confirmation; null if it was never confirmed. */
    public PersistentState.EndpointSnapshot endpointSnapshot() {
        return endpointCache.snapshot(discovery.address(), discovery.confirmedAt());
    }

    /**
     * Restores the list that an earlier process persisted. Discovery is polled at {@code pollAt}; until then the policy's own polling,
     * which would come sooner, is suppressed.
     *
     * @param learned the learned state of the earlier process, whose numbers of upstreams are compared with the first list of discovery
     */
    public void restore(PersistentState.EndpointSnapshot endpoints, long pollAt, List<LearnedLocality> learned) {
        watchEventHandler.accept(EndpointCache.watchEvent(endpoints));
        persistedLearned = learned;
        firstPollAt = pollAt;
        eventLoop.at(pollAt, this::pollNow);
    }

    // Restart storms.

    /** Throttles until the time {@code until} whenever the detector finds that many balancers have restarted at once. */
    public void throttleRestartStorm(RestartStormDetector detector, long until) {
        stormDetector = detector;
        updateThrottle(until);
    }

    private void updateThrottle(long until) {
        if (eventLoop.now() < until) {
            eventLoop.at(eventLoop.now() + limits.call().sweepIntervalNanos(), () -> updateThrottle(until));
        }
        double previousLevel = throttleLevel;
        if (peerChannel != null) {
            stormDetector.setRecentlyStartedFraction(peerChannel.recentlyStartedFraction());
        }
        throttleLevel = stormDetector.level(eventLoop.now());
        policy.setRetryAfterJitter(throttleLevel);
        if (previousLevel == 0 && throttleLevel > 0) {
            LOG.log(System.Logger.Level.INFO, "restart_storm_detected retry_after=jittered");
        }
        if (eventLoop.now() >= until) {
            stormDetector = null;
        }
    }

    // Progress.

    /** Tracks the progress of the recovery from now on. */
    public void trackRecovery(RecoveryProgress tracked) {
        progress = tracked;
        scheduleCheck();
    }

    private void scheduleCheck() {
        if (progress.deadline() < Long.MAX_VALUE || progress.phase() == RecoveryPhase.LISTED) {
            eventLoop.at(
                    Math.min(
                            progress.deadline(), eventLoop.now() + limits.call().warmUpNanos()),
                    () -> {
                        progress.check(eventLoop.now());
                        scheduleCheck();
                    });
        }
    }

    /** Returns the name of the current recovery phase in lower case; empty if the recovery is not tracked. */
    String phase() {
        return progress == null ? "" : progress.phase().name().toLowerCase(Locale.ROOT);
    }

    /** Adds the recovery's part of the status document, whose keys and order are an external format. */
    void status(ObjectNode status) {
        long now = eventLoop.now();
        if (progress != null) {
            status.put("step", phase()).put("stepForMs", (now - progress.phaseStartedAt()) / 1_000_000);
        }
        if (throttleLevel > 0) {
            status.put("heldBack", Math.round(throttleLevel * 100) / 100.0);
        }
        ObjectNode list = status.putObject("list").put("discovery", WatchEvent.text(discovery.address()));
        if (discovery.confirmedAt() > 0) {
            list.put("confirmedMsAgo", (now - discovery.confirmedAt()) / 1_000_000);
        }
        if (endpointCache != null) {
            list.put("upstreams", endpointCache.size());
        }
        if (peerChannel != null) {
            peerChannel.status(status);
        }
    }
}
