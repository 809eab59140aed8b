package gorsestack.memory;

import gorsestack.settings.Limits;
import gorsestack.wire.Flow;
import gorsestack.wire.Network;
import gorsestack.wire.Owner;
import gorsestack.wire.UpstreamConnection;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Connections to upstreams, idle ones by upstream, and where each upstream listens. */
final class Pool implements UpstreamConnection.Keeper {
    private static final ArrayDeque<UpstreamConnection> NONE = new ArrayDeque<>(0);

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, ArrayDeque<UpstreamConnection>> idle = new HashMap<>();
    private final Map<String, Long> heardAt = new HashMap<>();
    private final Set<UpstreamConnection> all = new HashSet<>();
    private final Network network;
    private final Limits limits;
    private final Owner owner;
    private final Flow flow;
    private long trustKeptAt;
    private int most;

    Pool(Network network, Limits limits, Owner owner, Flow flow) {
        this.network = network;
        this.limits = limits;
        this.owner = owner;
        this.flow = flow;
        most = limits.upstreamConnections();
    }

    void bound(int to) {
        most = to;
    }

    /** Danger: an address that moved to another upstream; nothing that was opened to the old one is kept. */
    void address(String upstream, InetSocketAddress address) {
        InetSocketAddress before = addresses.put(upstream, address);
        if (before != null && !before.equals(address)) {
            drop(upstream);
        }
    }

    /** A whole list has come: what it does not name is gone for good. */
    void keepOnly(Set<String> upstreams) {
        List.copyOf(addresses.keySet()).stream().filter(u -> !upstreams.contains(u)).forEach(this::forget);
    }

    /** Danger: ids are ever new; of one that is gone nothing may stay, for memory or for another at its address. */
    void forget(String upstream) {
        drop(upstream);
        addresses.remove(upstream);
        idle.remove(upstream);
        heardAt.remove(upstream);
    }

    /** A connection for one shot, the idle one used last or a new one; null if there can be none. */
    UpstreamConnection take(String upstream, boolean mayRepeat) {
        // Danger: a second copy right behind an answer would be taken for the next shot's; it gets time to come.
        long now = owner.now();
        long settled = now - limits.settle();
        ArrayDeque<UpstreamConnection> here = idle.getOrDefault(upstream, NONE);
        if (mayRepeat || now >= trustKeptAt) {
            Iterator<UpstreamConnection> kept = here.descendingIterator();
            while (kept.hasNext()) {
                UpstreamConnection connection = kept.next();
                if (connection.idleSince <= settled) {
                    kept.remove();
                    return connection;
                }
            }
        } else if (!here.isEmpty()) {
            here.peekFirst().close(); // the new one takes its place; an upstream holds only so many
        }
        InetSocketAddress address = addresses.get(upstream);
        if (address == null || all.size() >= most && !dropOldest()) {
            return null;
        }
        UpstreamConnection opened = new UpstreamConnection(limits, owner, this, upstream, address);
        opened.connect(network);
        all.add(opened);
        // Danger: a machine that is gone answers no connect; the shot on it has to end, as one that never ran.
        owner.at(now + limits.connectTimeout(), opened::tooSlow);
        return opened;
    }

    @Override
    public void free(UpstreamConnection connection) {
        if (!connection.address.equals(addresses.get(connection.upstream))) {
            connection.close();
            return;
        }
        connection.idleSince = owner.now();
        idle.computeIfAbsent(connection.upstream, u -> new ArrayDeque<>()).addLast(connection);
    }

    @Override
    public void closed(UpstreamConnection connection) {
        all.remove(connection);
        ArrayDeque<UpstreamConnection> kept = idle.get(connection.upstream);
        if (kept != null) {
            kept.remove(connection);
        }
    }

    @Override
    public void heard(String upstream) {
        if (addresses.containsKey(upstream)) {
            heardAt.put(upstream, owner.now());
        }
    }

    @Override
    public Flow flow() {
        return flow;
    }

    /** Danger: upstreams that end kept connections under a request; a call that may not be repeated is lost there. */
    @Override
    public void keptInVain() {
        trustKeptAt = owner.now() + limits.mistrust();
    }

    boolean heardSince(String upstream, long time) {
        return heardAt.getOrDefault(upstream, Long.MIN_VALUE) >= time;
    }

    /** Whether the list names it. */
    boolean knows(String upstream) {
        return addresses.containsKey(upstream);
    }

    /** Closes the upstream's idle connections. */
    void drop(String upstream) {
        ArrayDeque<UpstreamConnection> kept = idle.get(upstream);
        if (kept != null) {
            List.copyOf(kept).forEach(UpstreamConnection::close);
        }
    }

    private boolean dropOldest() {
        UpstreamConnection oldest = idle.values().stream().map(ArrayDeque::peekFirst).filter(Objects::nonNull)
                .min(Comparator.comparingLong(c -> c.idleSince)).orElse(null);
        if (oldest != null) {
            oldest.close();
        }
        return oldest != null;
    }

    /** Retires what has been idle for long, before the upstream does. */
    void retire() {
        long before = owner.now() - limits.upstreamIdle();
        for (ArrayDeque<UpstreamConnection> kept : idle.values()) {
            while (!kept.isEmpty() && kept.peekFirst().idleSince < before) {
                kept.peekFirst().close();
            }
        }
    }
}
