package gorsestack.recovery;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;
import com.fasterxml.jackson.databind.util.StdConverter;
import gorsestack.decision.LearnedLocality;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State that a balancer stores for its next process. Written and read by {@link SnapshotStore} through {@link StateCodec}, and printed by
 * the command line's state report. Immutable.
 *
 * <p>Times are in nanoseconds since 1970, on the clock of the process that wrote them. Where a component has another key in the JSON
 * report, its annotation names the key.
 *
 * @param name name of the balancer
 * @param incarnation highest incarnation of the balancer that the process that wrote the state knew; increases with each start
 * @param writtenAt time at which the state was written; 0 if no state was found
 * @param maintenanceOrders maintenance orders by upstream
 * @param learned learned state by locality
 * @param learnedAt time at which the learned state was exported
 * @param endpointSnapshot endpoint snapshot, or null if there is none
 * @param clock clock of the process that wrote the state
 */
public record PersistentState(
        String name,
        long incarnation,
        @JsonProperty("written") long writtenAt,
        @JsonProperty("bans") Map<String, MaintenanceOrder> maintenanceOrders,

        @JsonProperty("learnt") @JsonSerialize(contentConverter = StoredRow.class)
        List<LearnedLocality> learned,

        @JsonProperty("learntAt") long learnedAt,
        @JsonProperty("listed") EndpointSnapshot endpointSnapshot,
        ClockOrigin clock) {

    /** Converts learned state to its stored form for the JSON report. */
    static final class StoredRow extends StdConverter<LearnedLocality, double[]> {
        @Override
        public double[] convert(LearnedLocality learned) {
            return learned.toRow();
        }
    }

    /** Creates a state whose clock is unknown. */
    public PersistentState(
            String name,
            long incarnation,
            long writtenAt,
            Map<String, MaintenanceOrder> maintenanceOrders,
            List<LearnedLocality> learned,
            long learnedAt,
            EndpointSnapshot endpointSnapshot) {
        this(
                name,
                incarnation,
                writtenAt,
                maintenanceOrders,
                learned,
                learnedAt,
                endpointSnapshot,
                ClockOrigin.UNKNOWN);
    }

    /** Value of {@link MaintenanceOrder#endedAt} while the upstream is in maintenance. */
    public static final long NOT_ENDED = Long.MAX_VALUE;

    /**
     * Maintenance order of an operator for an upstream.
     *
     * @param endedAt time at which the upstream was put back into service, or NOT_ENDED
     * @param orderedAt time at which the order was given
     */
    public record MaintenanceOrder(
            @JsonProperty("back") long endedAt,
            @JsonProperty("said") long orderedAt) {}

    /**
     * Endpoint list as it was last confirmed by discovery.
     *
     * @param index index of the list
     * @param discovery address of the discovery service that sent the list
     * @param confirmed time at which the watch last confirmed the list
     * @param members endpoints of the list
     */
    public record EndpointSnapshot(long index, String discovery, long confirmed, List<StoredEndpoint> members) {}

    /**
     * Endpoint with the fields that it has in the discovery protocol.
     *
     * @param zone zone of the upstream; empty if discovery did not tell it
     * @param group group of the upstream; null if discovery did not tell it
     */
    public record StoredEndpoint(
            String name,
            String address,
            String zone,
            String type,
            Integer group,
            String status,
            double weight,
            long sinceMs) {}

    /** State of a balancer that has stored nothing. */
    public static final PersistentState NONE = new PersistentState("", 0, 0, Map.of(), List.of(), 0, null);

    /**
     * Returns all orders of both maps. For an upstream that is in both, the later order applies; of two orders given at the same time, the
     * one that ends later.
     */
    public static Map<String, MaintenanceOrder> merged(
            Map<String, MaintenanceOrder> orders, Map<String, MaintenanceOrder> others) {
        Map<String, MaintenanceOrder> all = new TreeMap<>(orders);
        others.forEach((upstream, order) -> all.merge(upstream, order, PersistentState::later));
        return all;
    }

    private static MaintenanceOrder later(MaintenanceOrder one, MaintenanceOrder other) {
        if (one.orderedAt != other.orderedAt) {
            return one.orderedAt > other.orderedAt ? one : other;
        }
        return one.endedAt > other.endedAt ? one : other;
    }

    /** Returns the same state with other maintenance orders. */
    public PersistentState with(Map<String, MaintenanceOrder> orders) {
        return new PersistentState(name, incarnation, writtenAt, orders, learned, learnedAt, endpointSnapshot, clock);
    }

    /** Returns the same state with its times converted to another clock; unchanged if the two clocks cannot be compared. */
    PersistentState convertedTo(ClockOrigin other) {
        long shift = other.shiftFrom(clock);
        if (shift == 0) {
            return this;
        }
        Map<String, MaintenanceOrder> shifted = new TreeMap<>();
        maintenanceOrders.forEach((upstream, order) -> shifted.put(
                upstream,
                new MaintenanceOrder(
                        order.endedAt == NOT_ENDED ? NOT_ENDED : order.endedAt + shift, order.orderedAt + shift)));
        EndpointSnapshot snapshot = endpointSnapshot == null
                ? null
                : new EndpointSnapshot(
                        endpointSnapshot.index,
                        endpointSnapshot.discovery,
                        endpointSnapshot.confirmed + shift,
                        endpointSnapshot.members);
        return new PersistentState(
                name,
                incarnation,
                writtenAt == 0 ? 0 : writtenAt + shift,
                shifted,
                learned,
                learnedAt == 0 ? 0 : learnedAt + shift,
                snapshot,
                other);
    }
}
