package gorsestack.recovery;

import gorsestack.decision.LearnedLocality;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Decides which parts of a stored state are still valid at a start, by their age and origin. Used by the server at the start, and by the
 * recovery coordinator. Callers pass the current time; this class is stateless and performs no I/O.
 */
public final class RestorePolicy {
    /** Tolerance in nanoseconds for a state written in the future, as a host's clock may be adjusted by that much in operation. */
    private static final long CLOCK_TOLERANCE_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    /**
     * Rate per second at which a fleet that restarts at once sends list requests. Discovery is a single small service that handles requests
     * one after the other.
     */
    private static final double LIST_REQUESTS_PER_SECOND = 4;
    /** Fraction of a locality's previous upstreams below which its concurrency limit is reduced. */
    private static final double UNCHANGED_MEMBER_FRACTION = 0.9;
    /** Exponent of the decay. At its maximum age learned state has decayed to exp(-4), about 2 %. */
    private static final double DECAY_EXPONENT = 4;

    private RestorePolicy() {}

    /**
     * Parts of a stored state that are still valid.
     *
     * @param maintenanceOrders maintenance orders, which are valid at any age; empty if the state is of another balancer
     * @param endpointSnapshot endpoint snapshot, or null if none is valid
     * @param learned learned state, decayed by its age; empty if none is valid
     * @param incarnation incarnation of this process
     * @param ordersMayBeLost whether maintenance orders may be missing
     * @param rejections a log line for each part that was rejected
     */
    public record Restored(
            Map<String, PersistentState.MaintenanceOrder> maintenanceOrders,
            PersistentState.EndpointSnapshot endpointSnapshot,
            List<LearnedLocality> learned,
            long incarnation,
            boolean ordersMayBeLost,
            List<String> rejections) {}

    /**
     * Evaluates the state found at a start.
     *
     * @param name name of this balancer; a state of another balancer is rejected
     * @param now current time in nanoseconds since 1970
     * @param discovery configured address of the discovery service
     * @param configuredIndex index of the endpoint list in the configuration
     * @param maxLearnedAge age in nanoseconds from which learned state is rejected; the length of the slow start, after which an upstream's
     *     capacity may have changed
     */
    public static Restored of(
            PersistentState state, String name, long now, String discovery, long configuredIndex, long maxLearnedAge) {
        long minIncarnation = Math.max(now / NANOS_PER_MS, 1);
        if (state.writtenAt() == 0) {
            return new Restored(state.maintenanceOrders(), null, List.of(), minIncarnation, true, List.of());
        }
        if (!state.name().equals(name)) {
            String rejection = "state_rejected reason=other_balancer name=" + state.name();
            return new Restored(Map.of(), null, List.of(), minIncarnation, true, List.of(rejection));
        }
        // The incarnation increases even if the clock was set back since the last start.
        long incarnation = Math.max(minIncarnation, state.incarnation() + 1);
        long age = now - state.writtenAt();
        if (age < -CLOCK_TOLERANCE_NANOS) {
            String rejection = "state_rejected reason=written_in_future ahead_ms=" + -age / NANOS_PER_MS
                    + " restored=maintenance_orders";
            return new Restored(state.maintenanceOrders(), null, List.of(), incarnation, false, List.of(rejection));
        }
        List<String> rejections = new ArrayList<>();
        PersistentState.EndpointSnapshot snapshot =
                validSnapshot(state.endpointSnapshot(), discovery, configuredIndex, rejections);
        List<LearnedLocality> learned = validLearned(state, now, maxLearnedAge, rejections);
        return new Restored(state.maintenanceOrders(), snapshot, learned, incarnation, false, rejections);
    }

    private static PersistentState.EndpointSnapshot validSnapshot(
            PersistentState.EndpointSnapshot snapshot,
            String discovery,
            long configuredIndex,
            List<String> rejections) {
        if (snapshot == null) {
            return null;
        }
        if (!snapshot.discovery().equals(discovery)) {
            rejections.add("endpoint_snapshot_rejected reason=other_discovery discovery=" + snapshot.discovery());
            return null;
        }
        if (snapshot.index() < configuredIndex) {
            rejections.add("endpoint_snapshot_rejected reason=older_than_configuration index=" + snapshot.index()
                    + " configured_index=" + configuredIndex);
            return null;
        }
        return snapshot;
    }

    private static List<LearnedLocality> validLearned(
            PersistentState state, long now, long maxAge, List<String> rejections) {
        List<LearnedLocality> learned = decayed(state, now, maxAge);
        if (learned.isEmpty() && !state.learned().isEmpty()) {
            rejections.add("learned_state_rejected reason=too_old age_s=" + (now - state.learnedAt()) / NANOS_PER_SECOND
                    + " max_age_s=" + maxAge / NANOS_PER_SECOND);
        }
        return learned;
    }

    /**
     * Returns learned state with concurrency limits and response rates multiplied by exp(-4 age / maxAge); empty from the maximum age on.
     * The older the state, the more the upstreams' current capacity may differ from the learned one. A limit that is too low is corrected
     * within a second, one that is too high only after queues have built up.
     */
    private static List<LearnedLocality> decayed(PersistentState state, long now, long maxAge) {
        double age = Math.max(0, now - state.learnedAt());
        if (age >= maxAge) {
            return List.of();
        }
        double factor = StrictMath.exp(-DECAY_EXPONENT * age / maxAge);
        return state.learned().stream()
                .map(locality -> locality.decayed(factor))
                .toList();
    }

    /**
     * Returns the time at which a process with a restored endpoint snapshot requests an update. The requests of a fleet that restarts at
     * once are spread over one second for every four balancers, but end by the deadline.
     *
     * @param deadline time by which every endpoint update must have been delivered
     * @param updateDelay time in nanoseconds within which every endpoint update counts as delivered; requests are spread over at least a
     *     fifth of it, as at any start, even if the deadline has passed
     * @param balancers number of balancers in the fleet
     * @param draw random number from 0 (inclusive) to 1 (exclusive)
     */
    public static long listRequestTime(long now, long deadline, long updateDelay, int balancers, double draw) {
        double fleetDuration = balancers / LIST_REQUESTS_PER_SECOND * NANOS_PER_SECOND;
        double duration = Math.max(updateDelay / 5.0, Math.min((double) (deadline - now), fleetDuration));
        return now + (long) (draw * duration);
    }

    /**
     * Reduces the concurrency limit of each locality that has lost more than a tenth of its upstreams since its state was learned, by the
     * list of discovery. The limit is reduced in proportion to the number of upstreams.
     *
     * @param restored learned state that was restored at the start
     * @param current current learned state of the same localities
     * @return the current learned state with reduced limits, or null if no limit changes
     */
    public static List<LearnedLocality> limitsReducedToMembers(
            List<LearnedLocality> restored, List<LearnedLocality> current) {
        List<LearnedLocality> reduced = new ArrayList<>(current);
        boolean anyReduced = false;
        for (int i = 0; i < Math.min(restored.size(), current.size()); i++) {
            OptionalDouble membersBefore = restored.get(i).memberCount();
            OptionalDouble membersNow = current.get(i).memberCount();
            if (membersBefore.isPresent()
                    && membersNow.isPresent()
                    && membersNow.getAsDouble() < UNCHANGED_MEMBER_FRACTION * membersBefore.getAsDouble()) {
                double remainingFraction = membersNow.getAsDouble() / membersBefore.getAsDouble();
                double limit = current.get(i).concurrencyLimit() * remainingFraction;
                reduced.set(i, current.get(i).withConcurrencyLimit(limit));
                anyReduced = true;
            }
        }
        return anyReduced ? reduced : null;
    }
}
