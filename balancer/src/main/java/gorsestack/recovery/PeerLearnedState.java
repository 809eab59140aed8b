package gorsestack.recovery;

import gorsestack.decision.LearnedLocality;
import gorsestack.recovery.PeerMessage.LocalityState;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * Collects the learned state of peers in the same zone, and merges it for a process that has learned nothing itself. Used by
 * {@link PeerRecovery} on its thread.
 */
final class PeerLearnedState {
    private final int[] zoneHashes;
    private final List<List<LocalityState>> responses = new ArrayList<>();

    /**
     * Creates a collection without any response.
     *
     * @param zones zone names in the order of the localities of learned state, this balancer's zone first
     */
    PeerLearnedState(List<String> zones) {
        zoneHashes = zones.stream().mapToInt(PeerLearnedState::hash).toArray();
    }

    private static int hash(String zone) {
        CRC32 crc = new CRC32();
        crc.update(zone.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Returns this process's learned state as it is sent to peers, each locality with the hash of its zone name. */
    List<LocalityState> withZoneHashes(List<LearnedLocality> learned) {
        List<LocalityState> withZoneHashes = new ArrayList<>();
        for (int i = 0; i < Math.min(learned.size(), zoneHashes.length); i++) {
            withZoneHashes.add(new LocalityState(zoneHashes[i], learned.get(i)));
        }
        return withZoneHashes;
    }

    /**
     * Adds a peer's state if the peer is in the same zone. A concurrency limit is one balancer's quota of the upstreams' capacity, and
     * balancers of another zone have other quotas.
     */
    void add(List<LocalityState> learned) {
        if (zoneHashes.length > 0 && !learned.isEmpty() && learned.get(0).zoneHash() == zoneHashes[0]) {
            responses.add(learned);
        }
    }

    boolean isEmpty() {
        return responses.isEmpty();
    }

    void clear() {
        responses.clear();
    }

    /**
     * Returns for each locality the lowest concurrency limit and the mean latency ratios, or zeros if no peer has reported the locality.
     * Response rates stay 0, as they differ from balancer to balancer.
     */
    List<LearnedLocality> merged() {
        List<LearnedLocality> merged = new ArrayList<>();
        for (int zoneHash : zoneHashes) {
            List<LearnedLocality> states = responses.stream()
                    .flatMap(List::stream)
                    .filter(locality -> locality.zoneHash() == zoneHash)
                    .map(LocalityState::learned)
                    .toList();
            merged.add(merge(states));
        }
        return merged;
    }

    private static LearnedLocality merge(List<LearnedLocality> states) {
        double concurrencyLimit = 0;
        double latencyRatios = 0;
        double baselineLatencyRatios = 0;
        int count = 0;
        for (LearnedLocality state : states) {
            concurrencyLimit =
                    count == 0 ? state.concurrencyLimit() : Math.min(concurrencyLimit, state.concurrencyLimit());
            latencyRatios += state.latencyRatio();
            baselineLatencyRatios += state.baselineLatencyRatio();
            count++;
        }
        int divisor = Math.max(1, count);
        return LearnedLocality.ofRow(concurrencyLimit, latencyRatios / divisor, baselineLatencyRatios / divisor, 0);
    }
}
