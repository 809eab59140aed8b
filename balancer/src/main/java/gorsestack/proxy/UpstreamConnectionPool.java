package gorsestack.proxy;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.settings.Limits;
import gorsestack.wire.BufferBudget;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Network;
import gorsestack.wire.UpstreamConnection;
import gorsestack.wire.UpstreamConnectionOwner;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Holds the connections to upstreams: establishes them, keeps idle ones for reuse, and closes them when upstreams drain, restart, change
 * their address or leave the endpoint list. Used by {@link CallDispatcher} and {@link AttemptRunner}. Owned by the event loop's thread.
 */
final class UpstreamConnectionPool implements UpstreamConnectionOwner {
    private static final ArrayDeque<UpstreamConnection> NONE = new ArrayDeque<>(0);

    private final Network network;
    private final Limits limits;
    private final EventLoop eventLoop;
    private final BufferBudget bufferBudget;

    /** The entry of each upstream in the endpoint list, and the address on which it listens. */
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    /** The upstreams that drain according to the endpoint list, and those in maintenance, which a ready state in the list does not end. */
    private final Set<String> draining = new HashSet<>();

    private final Set<String> inMaintenance = new HashSet<>();
    /** The time since which each upstream is known to accept no new requests; kept for a while after it left the list. */
    private final Map<String, Long> noNewRequestsSince = new HashMap<>();
    /**
     * The upstreams whose idle connections are closed, and whose other connections take no new requests, once the whole watch event is
     * applied.
     */
    private final Set<String> toBeClosed = new LinkedHashSet<>();

    private final Set<UpstreamConnection> connections = new HashSet<>();
    /** The idle connections by upstream, with the most recently used at the end. */
    private final Map<String, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();

    private final Map<String, Long> lastReceivedAt = new HashMap<>();

    private UpstreamContacts contacts;
    private int maxConnections;
    /** The time until which connections are reused only for safely repeatable requests. */
    private long reuseQuarantineUntil;

    private long lastUnexpectedBytesAt = Long.MIN_VALUE / 2;

    UpstreamConnectionPool(Network network, Limits limits, EventLoop eventLoop, BufferBudget bufferBudget) {
        this.network = network;
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.bufferBudget = bufferBudget;
        maxConnections = limits.upstream().maxConnections();
    }

    /** Sets what receives the signs of upstreams' processes; called before the first connection. */
    void setContacts(UpstreamContacts receiver) {
        contacts = receiver;
    }

    void limitConnections(int max) {
        maxConnections = max;
    }

    // The endpoint list.

    /**
     * Applies an update of the endpoint list that the policy has already handled. Rule 3: requests that wait for a connection to a
     * draining upstream are not sent, and idle connections to it are closed. This is done last, as the policy sends these requests
     * elsewhere at once, according to the new list.
     */
    void onWatchEvent(WatchEvent event) {
        if (event.update().kind() != EndpointUpdate.Kind.DELTA) {
            removeUnlisted(event.update());
        }
        // The entries are applied in order: if a message removes an upstream and adds it again, the last one counts.
        for (Endpoint endpoint : event.update().endpoints()) {
            if (endpoint.state() == EndpointState.GONE) {
                remove(endpoint.id());
                continue;
            }
            InetSocketAddress address = event.addresses().get(endpoint.id());
            if (address != null) {
                setAddress(endpoint.id(), address);
            }
            setEndpoint(endpoint);
            setDraining(endpoint.id(), endpoint.state() != EndpointState.READY);
        }
        List<String> closing = List.copyOf(toBeClosed);
        toBeClosed.clear();
        closing.forEach(this::closeUnused);
    }

    private void removeUnlisted(EndpointUpdate completeList) {
        Set<String> listedIds = new HashSet<>();
        completeList.endpoints().forEach(endpoint -> listedIds.add(endpoint.id()));
        // Discovery may list a draining upstream without its address.
        List.copyOf(endpoints.keySet()).stream()
                .filter(upstream -> !listedIds.contains(upstream))
                .forEach(this::remove);
    }

    /**
     * Removes an upstream. Its state would otherwise leak, as ids are always new, and its connections would stay open to an address that
     * may belong to another upstream by now.
     */
    private void remove(String upstream) {
        addresses.remove(upstream);
        endpoints.remove(upstream);
        noNewRequestsSince.putIfAbsent(upstream, eventLoop.now());
        draining.remove(upstream);
        lastReceivedAt.remove(upstream);
        toBeClosed.add(upstream);
    }

    /** Sets an address. Prevents the reuse of connections to the previous one, which may belong to another upstream by now. */
    private void setAddress(String upstream, InetSocketAddress address) {
        InetSocketAddress previous = addresses.put(upstream, address);
        if (previous != null && !previous.equals(address)) {
            toBeClosed.add(upstream);
        }
    }

    /**
     * Sets a list entry. Prevents the reuse of connections to an upstream that has restarted: they would break on the next request. Attempts
     * at one that is listed in another zone or cell than before are not sent either, as they were decided on for the previous one.
     */
    private void setEndpoint(Endpoint endpoint) {
        Endpoint previous = endpoints.put(endpoint.id(), endpoint);
        if (previous != null && !isSameProcess(previous, endpoint)) {
            toBeClosed.add(endpoint.id());
        }
    }

    private static boolean isSameProcess(Endpoint one, Endpoint other) {
        return one.startedAt() == other.startedAt()
                && one.zone().equals(other.zone())
                && one.cell().equals(other.cell());
    }

    private void setDraining(String upstream, boolean isDraining) {
        if (isDraining && draining.add(upstream)) {
            toBeClosed.add(upstream);
            noNewRequestsSince.putIfAbsent(upstream, eventLoop.now());
        } else if (!isDraining) {
            draining.remove(upstream);
            clearNoNewRequestsSince(upstream);
        }
    }

    /** Puts an upstream into maintenance, or back into service, by an operator's order. */
    void setMaintenance(String upstream, boolean outOfService) {
        if (outOfService && inMaintenance.add(upstream)) {
            noNewRequestsSince.putIfAbsent(upstream, eventLoop.now());
            closeUnused(upstream);
        } else if (!outOfService) {
            inMaintenance.remove(upstream);
            clearNoNewRequestsSince(upstream);
        }
    }

    private void clearNoNewRequestsSince(String upstream) {
        if (!draining.contains(upstream) && !inMaintenance.contains(upstream)) {
            noNewRequestsSince.remove(upstream);
        }
    }

    /** Returns since when the upstream is known to accept no new requests; Long.MAX_VALUE if it accepts them. */
    long drainingSince(String upstream) {
        return noNewRequestsSince.getOrDefault(upstream, Long.MAX_VALUE);
    }

    /** Returns the upstream's entry in the endpoint list, or null if it is not listed. */
    Endpoint endpoint(String upstream) {
        return endpoints.get(upstream);
    }

    /** Returns whether the endpoint list has an address of the upstream. */
    boolean isListed(String upstream) {
        return addresses.containsKey(upstream);
    }

    // Connections.

    /**
     * Returns a connection for one attempt: the most recently used idle one or a new one, or null if none is available.
     *
     * @param safelyRepeatable whether the request may be repeated if a reused connection breaks before the response
     */
    UpstreamConnection take(String upstream, boolean safelyRepeatable) {
        long now = eventLoop.now();
        ArrayDeque<UpstreamConnection> idleConnections = idle.getOrDefault(upstream, NONE);
        if (safelyRepeatable || now >= reuseQuarantineUntil) {
            UpstreamConnection reused = takeIdle(idleConnections, now);
            if (reused != null) {
                return reused;
            }
        } else if (!idleConnections.isEmpty()) {
            // The new connection replaces an idle one, as an upstream accepts a limited number.
            idleConnections.peekFirst().close();
        }
        InetSocketAddress address = addresses.get(upstream);
        if (address == null || (connections.size() >= maxConnections && !closeLeastRecentlyUsed())) {
            return null;
        }
        return connect(upstream, address, now);
    }

    /**
     * Removes and returns the most recently used connection that has been idle for the reuse delay, or null. Without the delay, a duplicate
     * of the previous response, which arrives right behind it, could be taken for the response to the next attempt.
     */
    private UpstreamConnection takeIdle(ArrayDeque<UpstreamConnection> idleConnections, long now) {
        boolean unexpectedBytesSeen =
                now - lastUnexpectedBytesAt < limits.upstream().quarantineNanos();
        long idleBefore = now
                - (unexpectedBytesSeen
                        ? limits.upstream().quarantineReuseDelayNanos()
                        : limits.upstream().reuseDelayNanos());
        Iterator<UpstreamConnection> mostRecentFirst = idleConnections.descendingIterator();
        while (mostRecentFirst.hasNext()) {
            UpstreamConnection connection = mostRecentFirst.next();
            if (connection.idleSince <= idleBefore) {
                mostRecentFirst.remove();
                return connection;
            }
        }
        return null;
    }

    private UpstreamConnection connect(String upstream, InetSocketAddress address, long now) {
        UpstreamConnection connection = new UpstreamConnection(limits, eventLoop, this, upstream, address);
        connection.connect(network);
        connections.add(connection);
        // A connect to a host that is down does not complete; the timeout ends the attempt in time, as not executed.
        eventLoop.at(now + limits.upstream().connectTimeoutNanos(), connection::connectTimedOut);
        return connection;
    }

    @Override
    public void becameIdle(UpstreamConnection connection) {
        if (!acceptsRequests(connection)) {
            connection.close();
            return;
        }
        connection.idleSince = eventLoop.now();
        idle.computeIfAbsent(connection.upstream, upstream -> new ArrayDeque<>())
                .addLast(connection);
    }

    @Override
    public void closed(UpstreamConnection connection) {
        connections.remove(connection);
        ArrayDeque<UpstreamConnection> idleConnections = idle.get(connection.upstream);
        if (idleConnections != null) {
            idleConnections.remove(connection);
        }
    }

    @Override
    public void bytesReceived(UpstreamConnection connection, long readAt) {
        if (addresses.containsKey(connection.upstream)) {
            lastReceivedAt.put(connection.upstream, eventLoop.now());
        }
        contacts.bytesReceived(connection, readAt);
    }

    /** Returns whether any byte arrived from the upstream at {@code time} or later. */
    boolean receivedSince(String upstream, long time) {
        return lastReceivedAt.getOrDefault(upstream, Long.MIN_VALUE) >= time;
    }

    @Override
    public void contactLost(UpstreamConnection connection) {
        contacts.lost(connection);
    }

    @Override
    public BufferBudget bufferBudget() {
        return bufferBudget;
    }

    /**
     * Suspends the reuse of connections for calls that may not be repeated. Such a call would be lost if the upstream closed an idle
     * connection just as the request is sent on it.
     */
    @Override
    public void reusedConnectionLost() {
        reuseQuarantineUntil = eventLoop.now() + limits.upstream().quarantineNanos();
    }

    /**
     * Returns whether a connect that no attempt waits for may continue: at most one for each upstream. If an upstream is down, one
     * connection that is established late is useful, a dozen are not.
     */
    @Override
    public boolean mayContinueConnecting(UpstreamConnection connection) {
        return acceptsRequests(connection)
                && connections.stream()
                        .noneMatch(other -> other != connection
                                && other.connectingWithoutAttempt()
                                && other.upstream.equals(connection.upstream));
    }

    @Override
    public void unexpectedBytes() {
        lastUnexpectedBytesAt = eventLoop.now();
    }

    @Override
    public boolean acceptsRequests(UpstreamConnection connection) {
        return connection.address.equals(addresses.get(connection.upstream))
                && !draining.contains(connection.upstream)
                && !inMaintenance.contains(connection.upstream);
    }

    /** Closes the upstream's idle connections. */
    void closeIdle(String upstream) {
        ArrayDeque<UpstreamConnection> idleConnections = idle.get(upstream);
        if (idleConnections != null) {
            List.copyOf(idleConnections).forEach(UpstreamConnection::close);
        }
    }

    /** Closes the upstream's idle connections and stops new requests on the others; a request not yet written is not sent. */
    private void closeUnused(String upstream) {
        closeIdle(upstream);
        if (!addresses.containsKey(upstream)) {
            idle.remove(upstream);
        }
        List.copyOf(connections).stream()
                .filter(connection -> connection.upstream.equals(upstream))
                .forEach(UpstreamConnection::stopNewRequests);
    }

    private boolean closeLeastRecentlyUsed() {
        UpstreamConnection oldest = idle.values().stream()
                .map(ArrayDeque::peekFirst)
                .filter(Objects::nonNull)
                .min(Comparator.comparingLong(connection -> connection.idleSince))
                .orElse(null);
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** Closes connections that have been idle for long, before the upstream does, and drops the state of upstreams removed long ago. */
    void closeExpired() {
        long removeBefore = eventLoop.now() - limits.shutdown().responseNanos();
        noNewRequestsSince
                .entrySet()
                .removeIf(entry -> entry.getValue() < removeBefore && !addresses.containsKey(entry.getKey()));
        long idleBefore = eventLoop.now() - limits.upstream().idleTimeoutNanos();
        for (ArrayDeque<UpstreamConnection> idleConnections : idle.values()) {
            while (!idleConnections.isEmpty() && idleConnections.peekFirst().idleSince < idleBefore) {
                idleConnections.peekFirst().close();
            }
        }
    }
}
