package gorsestack.decision;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * One upstream as discovery lists it. The adapters build endpoints from discovery's messages, and the balancing policy
 * and the connection pool use them. An attempt keeps the endpoint that it was sent to, whatever the list says later.
 * What discovery did not tell is empty, and equals nothing. Immutable, so any thread may use it.
 *
 * @param id the upstream's name, unique in the fleet
 * @param state whether the upstream is in service
 * @param startedAt the time of its last start, in nanoseconds of the balancer's clock; 0 if it started long ago
 * @param cell the group of upstreams that recognize repeats of a deduplicated request, where the scope is a cell; empty
 *     if not known
 * @param weight its nominal size relative to a typical upstream, whose weight is 1
 * @param kind its hardware or software type; upstreams of the same type are expected to have similar latencies
 * @param zone the zone that it runs in; empty if not known
 */
public record Endpoint(
        String id,
        EndpointState state,
        long startedAt,
        OptionalInt cell,
        double weight,
        String kind,
        Optional<String> zone) {

    /** Returns a copy of this endpoint with another start time. */
    public Endpoint startedAt(long startTime) {
        return new Endpoint(id, state, startTime, cell, weight, kind, zone);
    }

    /** Returns a copy of this endpoint in the state {@link EndpointState#GONE}. */
    public Endpoint removed() {
        return new Endpoint(id, EndpointState.GONE, startedAt, cell, weight, kind, zone);
    }

    /** Returns a copy of this endpoint whose zone and cell are not known. */
    Endpoint withoutPlacement() {
        return new Endpoint(id, state, startedAt, OptionalInt.empty(), weight, kind, Optional.empty());
    }

    /** Returns whether both upstreams are known to be in the same zone. */
    boolean sharesZoneWith(Endpoint other) {
        return zone.isPresent() && zone.equals(other.zone);
    }

    /** Returns whether both upstreams are known to be in the same cell. */
    boolean sharesCellWith(Endpoint other) {
        return cell.isPresent() && cell.equals(other.cell);
    }
}
