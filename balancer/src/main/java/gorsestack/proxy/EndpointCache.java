package gorsestack.proxy;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.recovery.PersistentState;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

/**
 * Holds the complete current endpoint list in the form in which it is persisted for the next process. Used by
 * {@link RecoveryCoordinator}, only if a state folder is configured. Owned by the event loop's thread.
 */
final class EndpointCache {
    private static final String READY = "in_service";
    private static final String DRAINING = "terminating";

    private final Map<String, PersistentState.StoredEndpoint> members = new TreeMap<>();
    private long index;

    void onWatchEvent(WatchEvent event) {
        if (event.update().kind() != EndpointUpdate.Kind.DELTA) {
            members.clear();
        }
        index = event.index();
        for (Endpoint endpoint : event.update().endpoints()) {
            if (endpoint.state() == EndpointState.GONE) {
                members.remove(endpoint.id());
            } else {
                members.put(endpoint.id(), member(endpoint, event.addresses().get(endpoint.id())));
            }
        }
    }

    private PersistentState.StoredEndpoint member(Endpoint endpoint, InetSocketAddress address) {
        PersistentState.StoredEndpoint previous = members.get(endpoint.id());
        // Discovery may report a draining upstream without its address.
        String addressText = address != null ? WatchEvent.text(address) : previous != null ? previous.address() : "";
        return new PersistentState.StoredEndpoint(
                endpoint.id(),
                addressText,
                endpoint.zone().orElse(""),
                endpoint.kind(),
                endpoint.cell().isPresent() ? endpoint.cell().getAsInt() : null,
                endpoint.state() == EndpointState.READY ? READY : DRAINING,
                endpoint.weight(),
                endpoint.startedAt() / 1_000_000);
    }

    int size() {
        return members.size();
    }

    /** Returns the list in its persisted form, or null if discovery has never confirmed it. */
    PersistentState.EndpointSnapshot snapshot(InetSocketAddress discovery, long confirmedAt) {
        return confirmedAt == 0
                ? null
                : new PersistentState.EndpointSnapshot(
                        index, WatchEvent.text(discovery), confirmedAt, List.copyOf(members.values()));
    }

    /** Returns the watch event by which the policy receives a persisted list, without ready upstreams that have no address. */
    static WatchEvent watchEvent(PersistentState.EndpointSnapshot persisted) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (PersistentState.StoredEndpoint member : persisted.members()) {
            InetSocketAddress address = WatchEvent.address(member.address());
            boolean ready = member.status().equals(READY);
            if (!member.name().isEmpty() && (address != null || !ready)) {
                if (address != null) {
                    addresses.put(member.name(), address);
                }
                endpoints.add(new Endpoint(
                        member.name(),
                        ready ? EndpointState.READY : EndpointState.DRAINING,
                        member.sinceMs() * 1_000_000,
                        member.group() == null ? OptionalInt.empty() : OptionalInt.of(member.group()),
                        member.weight(),
                        member.type(),
                        Optional.of(member.zone()).filter(zone -> !zone.isEmpty())));
            }
        }
        return new WatchEvent(persisted.index(), new EndpointUpdate(EndpointUpdate.Kind.CACHED, endpoints), addresses);
    }
}
