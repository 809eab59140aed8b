package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.recovery.PersistentState;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests that the cached list is complete, and that it is restored without ready upstreams that have no address. */
class EndpointCacheTest {
    private static final InetSocketAddress DISCOVERY = WatchEvent.address("127.0.0.1:8500");
    private static final InetSocketAddress ADDRESS = WatchEvent.address("127.0.1.1:80");

    private final EndpointCache cache = new EndpointCache();

    private static Endpoint endpoint(String id, EndpointState state) {
        return new Endpoint(id, state, 5_000_000, OptionalInt.of(2), 1.5, "type", Optional.of("a"));
    }

    private void update(EndpointUpdate.Kind kind, Map<String, InetSocketAddress> addresses, Endpoint... endpoints) {
        cache.onWatchEvent(new WatchEvent(41, new EndpointUpdate(kind, List.of(endpoints)), addresses));
    }

    private List<PersistentState.StoredEndpoint> members() {
        return cache.snapshot(DISCOVERY, 9).members();
    }

    @Test
    void doesNotPersistAListThatWasNeverConfirmed() {
        assertNull(cache.snapshot(DISCOVERY, 0));
        assertEquals(
                new PersistentState.EndpointSnapshot(0, "127.0.0.1:8500", 9, List.of()), cache.snapshot(DISCOVERY, 9));
    }

    @Test
    void keepsTheAddressOfAnUpstreamThatDrains() {
        update(EndpointUpdate.Kind.SNAPSHOT, Map.of("s1", ADDRESS), endpoint("s1", EndpointState.READY));
        update(
                EndpointUpdate.Kind.DELTA,
                Map.of(),
                endpoint("s1", EndpointState.DRAINING),
                endpoint("s2", EndpointState.DRAINING));
        assertEquals(
                List.of(
                        new PersistentState.StoredEndpoint("s1", "127.0.1.1:80", "a", "type", 2, "terminating", 1.5, 5),
                        new PersistentState.StoredEndpoint("s2", "", "a", "type", 2, "terminating", 1.5, 5)),
                members());
    }

    @Test
    void dropsRemovedUpstreamsAndThoseMissingFromACompleteList() {
        update(
                EndpointUpdate.Kind.SNAPSHOT,
                Map.of(),
                endpoint("s1", EndpointState.READY),
                endpoint("s2", EndpointState.READY));
        update(EndpointUpdate.Kind.DELTA, Map.of(), endpoint("s1", EndpointState.GONE));
        assertEquals(1, cache.size());
        update(EndpointUpdate.Kind.SNAPSHOT, Map.of(), endpoint("s3", EndpointState.READY));
        assertEquals(
                List.of("s3"),
                members().stream().map(PersistentState.StoredEndpoint::name).toList());
    }

    /** An upstream of which discovery told neither zone nor cell must not come back as one of cell 0. */
    @Test
    void restoresAnUnknownZoneAndCellAsUnknown() {
        Endpoint unknown =
                new Endpoint("s1", EndpointState.READY, 5_000_000, OptionalInt.empty(), 1.5, "type", Optional.empty());
        update(EndpointUpdate.Kind.SNAPSHOT, Map.of("s1", ADDRESS), unknown);
        assertEquals(
                List.of(unknown),
                EndpointCache.watchEvent(cache.snapshot(DISCOVERY, 9)).update().endpoints());
    }

    @Test
    void restoresAPersistedListAsACachedList() {
        Endpoint ready = endpoint("s1", EndpointState.READY);
        Endpoint draining = endpoint("s2", EndpointState.DRAINING);
        Endpoint unreachable = endpoint("s3", EndpointState.READY);
        update(EndpointUpdate.Kind.SNAPSHOT, Map.of("s1", ADDRESS), ready, draining, unreachable);
        WatchEvent restored = EndpointCache.watchEvent(cache.snapshot(DISCOVERY, 9));
        assertEquals(41, restored.index());
        assertEquals(EndpointUpdate.Kind.CACHED, restored.update().kind());
        assertEquals(
                List.of(ready, draining),
                restored.update().endpoints(),
                "a ready upstream without an address is not restored");
        assertEquals(Map.of("s1", ADDRESS), restored.addresses());
    }
}
