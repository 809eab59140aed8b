package gorsestack.decision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.zip.CRC32;

/**
 * The upstreams that this balancer knows, in slots. An id keeps its slot until discovery has removed it and no call
 * refers to an attempt at it. The slots are reused because new upstreams have new ids; without this, the state of old
 * ids would exhaust the memory. Part of {@link BalancingPolicy} and used on its thread.
 */
final class UpstreamTable {
    /**
     * Marks maintenance that has not ended, in place of the time at which it ended: the upstream stays in maintenance
     * until an operator ends it.
     */
    static final long NOT_ENDED = Long.MAX_VALUE;

    private static final int ID_HASH_MASK = 0xffffff;
    /** Value in {@link #byIdHash} for a hash that the ids of several upstreams have. */
    private static final UpstreamState AMBIGUOUS = new UpstreamState(-1);

    private final List<UpstreamState> slots = new ArrayList<>();
    private final ArrayDeque<UpstreamState> freeSlots = new ArrayDeque<>();
    private final Map<String, UpstreamState> byId = new HashMap<>();
    private final Map<Integer, UpstreamState> byIdHash = new HashMap<>();
    private final Map<UpstreamClass.Key, UpstreamClass> classes = new HashMap<>();
    /**
     * The time at which maintenance ended, or {@link #NOT_ENDED}, by id. It is kept by id so that neither an update from
     * discovery nor a new slot ends the maintenance.
     */
    private final Map<String, Long> maintenance = new HashMap<>();
    /** Upstreams that discovery has removed, in the order of their slots, which they keep while a call refers to them. */
    private final TreeSet<UpstreamState> removed = new TreeSet<>(Comparator.comparingInt(upstream -> upstream.index));

    /** Returns all slots, including those of removed upstreams. */
    List<UpstreamState> slots() {
        return slots;
    }

    /** Returns the upstream with this id; null if it is unknown. */
    UpstreamState find(String id) {
        return byId.get(id);
    }

    /** Returns the upstream with this id; assigns a free slot to a new one. */
    UpstreamState findOrAdd(String id) {
        UpstreamState known = byId.get(id);
        if (known != null) {
            return known;
        }
        UpstreamState added = freeSlots.isEmpty() ? addSlot() : freeSlots.remove();
        byId.put(id, added);
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        added.idHash = (int) crc.getValue() & ID_HASH_MASK;
        // Prevents reports about one of two ids with the same hash from being attributed to the other.
        byIdHash.merge(added.idHash, added, (one, other) -> AMBIGUOUS);
        return added;
    }

    private UpstreamState addSlot() {
        UpstreamState slot = new UpstreamState(slots.size());
        slots.add(slot);
        return slot;
    }

    /** Replaces the endpoint of an upstream with the current one from discovery. */
    void update(UpstreamState upstream, Endpoint endpoint) {
        upstream.endpoint = endpoint;
        if (endpoint.state() == EndpointState.GONE) {
            removed.add(upstream);
        } else {
            removed.remove(upstream);
        }
    }

    /** Returns the class of the upstreams with this locality, type and nominal size; creates it if it does not exist. */
    UpstreamClass classOf(int locality, String kind, double weight) {
        return classes.computeIfAbsent(new UpstreamClass.Key(locality, kind, weight), unknown -> new UpstreamClass());
    }

    /** Records an operator's maintenance order: when the maintenance ended, or {@link #NOT_ENDED}. */
    void setMaintenance(String id, long endedAt) {
        maintenance.put(id, endedAt);
    }

    /** Returns when the upstream's maintenance ended, or {@link #NOT_ENDED}; 0 if there is no maintenance order. */
    private long maintenanceEndedAt(UpstreamState upstream) {
        return maintenance.isEmpty() ? 0 : maintenance.getOrDefault(upstream.endpoint.id(), 0L);
    }

    /**
     * Returns whether attempts may go to the upstream: discovery lists it as ready and it is not in maintenance.
     */
    boolean isAvailable(UpstreamState upstream) {
        return upstream.endpoint.state() == EndpointState.READY && maintenanceEndedAt(upstream) != NOT_ENDED;
    }

    /** Returns when the upstream last started or its maintenance last ended; 0 if that was long ago. */
    long startedAt(UpstreamState upstream) {
        long endedAt = maintenanceEndedAt(upstream);
        long startedAt = upstream.endpoint.startedAt();
        return endedAt == NOT_ENDED ? startedAt : Math.max(startedAt, endedAt);
    }

    /** Returns whether the upstream started, or its maintenance ended, less than the slow-start time ago. */
    boolean isWarmingUp(UpstreamState upstream, long now, long slowStartTime) {
        long startedAt = startedAt(upstream);
        return startedAt > 0 && now - startedAt < slowStartTime;
    }

    /** Returns the upstream whose id has this hash; null if there is none or more than one. */
    UpstreamState findByIdHash(int idHash) {
        UpstreamState found = byIdHash.get(idHash);
        return found == AMBIGUOUS ? null : found;
    }

    /**
     * Returns the rank of an upstream in a balancer's own order of the upstreams, which differs from balancer to
     * balancer.
     */
    static int subsetRank(UpstreamState upstream, int balancer) {
        return upstream.idHash * (2 * balancer + 1) & ID_HASH_MASK;
    }

    /** Returns up to {@code limit} upstreams with the newest load reports, the newest first. */
    UpstreamState[] newestReported(int limit) {
        UpstreamState[] newest = new UpstreamState[limit];
        int count = 0;
        for (int i = 0; i < slots.size(); i++) {
            UpstreamState upstream = slots.get(i);
            if (upstream.reportedAt > 0 && (count < limit || upstream.reportedAt > newest[count - 1].reportedAt)) {
                int position = count < limit ? count++ : count - 1;
                for (; position > 0 && newest[position - 1].reportedAt < upstream.reportedAt; position--) {
                    newest[position] = newest[position - 1];
                }
                newest[position] = upstream;
            }
        }
        return Arrays.copyOf(newest, count);
    }

    /** Returns the removed upstreams that no call refers to, in the order of their slots. */
    List<UpstreamState> releasable() {
        if (removed.isEmpty()) {
            return List.of();
        }
        List<UpstreamState> releasable = new ArrayList<>();
        for (UpstreamState upstream : removed) {
            if (isReleasable(upstream)) {
                releasable.add(upstream);
            }
        }
        return releasable;
    }

    /** Returns whether the upstream has been removed, no call refers to it, and its slot has not been freed yet. */
    boolean isReleasable(UpstreamState upstream) {
        return upstream.endpoint.state() == EndpointState.GONE
                && upstream.referencingAttempts == 0
                && byId.get(upstream.endpoint.id()) == upstream;
    }

    /** Frees the upstream's slot for another id. */
    void release(UpstreamState upstream) {
        removed.remove(upstream);
        byId.remove(upstream.endpoint.id());
        byIdHash.remove(upstream.idHash, upstream);
        upstream.lastResponseAt = 0;
        upstream.reportedAt = 0;
        upstream.probeConsideredAt = 0;
        freeSlots.add(upstream);
    }
}
