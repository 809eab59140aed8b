package gorsestack.proxy;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Knows which upstream listens at each address, and removes from the endpoint list those whose address another one has taken: a process that
 * has gone may stay listed for seconds after another one, in a different zone or group, has come up at its address, which would then get its
 * calls. Used by {@link CallDispatcher}. Owned by the event loop's thread.
 */
final class AddressOwners {
    private final Map<InetSocketAddress, Endpoint> ownerByAddress = new HashMap<>();
    private final Map<String, InetSocketAddress> addressById = new HashMap<>();
    /** Listed upstreams whose address another one has taken. */
    private final Map<String, Displaced> displaced = new HashMap<>();

    /** An upstream as it was listed at the address that another one has taken. */
    private record Displaced(InetSocketAddress address, Endpoint endpoint) {
        boolean isStart(InetSocketAddress listedAddress, long startedAt) {
            return address.equals(listedAddress) && endpoint.startedAt() == startedAt;
        }
    }

    /** Returns the event without upstreams whose address another one has; a delta removes those that were listed before. */
    WatchEvent withoutDisplaced(WatchEvent event) {
        boolean delta = event.update().kind() == EndpointUpdate.Kind.DELTA;
        if (!delta) {
            forgetUnlisted(event.update());
        }
        Set<String> newlyDisplaced = new LinkedHashSet<>();
        for (Endpoint endpoint : event.update().endpoints()) {
            apply(endpoint, event.addresses().get(endpoint.id()), newlyDisplaced);
        }
        if (displaced.isEmpty()) {
            return event;
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (Endpoint endpoint : event.update().endpoints()) {
            if (!displaced.containsKey(endpoint.id())) {
                endpoints.add(endpoint);
            }
        }
        if (delta) {
            newlyDisplaced.retainAll(displaced.keySet());
            newlyDisplaced.forEach(
                    id -> endpoints.add(0, displaced.get(id).endpoint().removed()));
        }
        return new WatchEvent(event.index(), new EndpointUpdate(event.update().kind(), endpoints), event.addresses());
    }

    private void forgetUnlisted(EndpointUpdate completeList) {
        Set<String> listed = new HashSet<>();
        completeList.endpoints().forEach(endpoint -> listed.add(endpoint.id()));
        Set<String> known = new HashSet<>(addressById.keySet());
        known.addAll(displaced.keySet());
        known.removeAll(listed);
        known.forEach(this::forget);
    }

    private void forget(String id) {
        displaced.remove(id);
        InetSocketAddress address = addressById.remove(id);
        if (address != null && ownerByAddress.get(address).id().equals(id)) {
            ownerByAddress.remove(address);
            displaced.values().removeIf(other -> other.address.equals(address));
        }
    }

    private void apply(Endpoint endpoint, InetSocketAddress listedAddress, Set<String> newlyDisplaced) {
        String id = endpoint.id();
        if (endpoint.state() == EndpointState.GONE) {
            forget(id);
            return;
        }
        InetSocketAddress address = listedAddress != null ? listedAddress : addressById.get(id);
        Displaced earlier = displaced.get(id);
        if (address == null || (earlier != null && earlier.isStart(address, endpoint.startedAt()))) {
            return;
        }
        Endpoint owner = ownerByAddress.get(address);
        if (owner != null && !owner.id().equals(id) && !takesOver(endpoint, owner)) {
            forget(id);
            displaced.put(id, new Displaced(address, endpoint));
            newlyDisplaced.add(id);
            return;
        }
        if (owner != null && !owner.id().equals(id)) {
            addressById.remove(owner.id());
            displaced.put(owner.id(), new Displaced(address, owner));
            newlyDisplaced.add(owner.id());
        }
        if (!address.equals(addressById.get(id))) {
            forget(id);
        }
        displaced.remove(id);
        addressById.put(id, address);
        ownerByAddress.put(address, endpoint);
    }

    /** Returns whether an upstream that is listed at the address of another one has replaced it: one in service that did not start before. */
    private static boolean takesOver(Endpoint endpoint, Endpoint owner) {
        return endpoint.state() == EndpointState.READY && endpoint.startedAt() >= owner.startedAt();
    }
}
