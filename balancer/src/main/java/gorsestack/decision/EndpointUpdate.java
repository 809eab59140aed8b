package gorsestack.decision;

import java.util.List;

/**
 * One update of the endpoint list from discovery: a snapshot, a delta to the current list, or a failed poll. The
 * adapters create updates and pass them to {@link BalancingPolicy#onEndpointUpdate}. Immutable if its list is.
 *
 * @param kind what the update means for endpoints that it does not contain
 * @param endpoints the endpoints that the update contains; empty for a failed poll
 */
public record EndpointUpdate(Kind kind, List<Endpoint> endpoints) {

    /** The kind of an update, which decides what happens to endpoints that the update does not contain. */
    public enum Kind {
        /** A snapshot that an earlier process persisted and that discovery has not confirmed yet. */
        CACHED,
        /** The complete list: an endpoint that it does not contain has been removed. */
        SNAPSHOT,
        /** Changes only: an endpoint that it does not contain is unchanged. */
        DELTA,
        /** The poll failed and returned no endpoints. Only the simulator reports this; the proxy's watch retries by itself. */
        FAILED
    }

    boolean isDelta() {
        return kind == Kind.DELTA;
    }
}
