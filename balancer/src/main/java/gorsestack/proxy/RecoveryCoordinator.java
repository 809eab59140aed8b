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
 * The recovery of this balancer after a restart: the endpoint list and learned state that an earlier process persisted, the throttling when
 * many balancers restart at once, the progress, and their part of the status document. Each part exists only where it is configured. Owned
 * by the event loop's thread.
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
    /** The learned state of an earlier process, until discovery has reported which upstreams there are. */
    private List<LearnedLocality> persistedLearned;
    /** While a persisted list is in use, discovery is polled no sooner than this. */
    private long firstPollAt;

    private RecoveryProgress progress;
    private RestartStormDetector stormDetector;
    /** By how much the storm detector spreads clients' retries, from 0 to 1. */
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

    /** A watch event has arrived; called before the policy handles it. */
    void onWatchEvent(WatchEvent event) {
        if (endpointCache != null) {
            endpointCache.onWatchEvent(event);
        }
        if (progress != null && event.update().kind() != EndpointUpdate.Kind.CACHED) {
            progress.onListReceived(eventLoop.now());
        }
    }

    /** The policy has handled a watch event. */
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

    /** Clients' calls are accepted from now on. */
    void onReady() {
        if (progress != null) {
            progress.onAcceptingClients(eventLoop.now());
        }
    }

    // The endpoint list.

    /** Watches the endpoint list, unless a persisted list is in use and discovery is to be polled later. */
    void watch() {
        if (eventLoop.now() >= firstPollAt) {
            discovery.watch();
        }
    }

    /** Polls discovery now, whatever was planned. */
    public void pollNow() {
        firstPollAt = 0;
        discovery.watch();
    }

    /** Caches the list for the next process; to be called before the first watch event. */
    public void cacheList() {
        endpointCache = new EndpointCache();
    }

    /** The version of the current list. */
    public long listIndex() {
        return discovery.index();
    }

    /** The current list and when it was last confirmed; null if it never was. */
    public PersistentState.EndpointSnapshot endpointSnapshot() {
        return endpointCache.snapshot(discovery.address(), discovery.confirmedAt());
    }

    /**
     * Restores the list and the learned state that an earlier process persisted. Discovery is polled at {@code pollAt}; until then the
     * policy's own polling, which would come sooner, is suppressed.
     */
    public void restore(PersistentState.EndpointSnapshot endpoints, long pollAt, List<LearnedLocality> learned) {
        watchEventHandler.accept(EndpointCache.watchEvent(endpoints));
        persistedLearned = learned;
        firstPollAt = pollAt;
        eventLoop.at(pollAt, this::pollNow);
    }

    // Restart storms.

    /** Throttles until then, if the detector finds that many balancers have restarted at once. */
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
            stormDetector.setRecentlyStartedFraction(peerChannel.recoveredRecentlyFraction());
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

    /** The recovery's current step in lower case; empty if it is not tracked. */
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
