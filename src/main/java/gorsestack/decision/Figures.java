package gorsestack.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** What one balancer knows of each upstream: parallel arrays under an index that an id keeps for good. */
final class Figures {
    final Map<String, Integer> index = new HashMap<>();
    Upstreams.Entry[] entry = new Upstreams.Entry[16];
    int[] group = new int[16];
    int[] inFlight = new int[16];
    int[] straightFailures = new int[16];
    boolean[] sick = new boolean[16];
    double[] slowness = new double[16];
    /** When the first shot was sent since the last answer; Long.MAX_VALUE with none out. */
    long[] silentSince = new long[16];
    double[] carried = new double[16];
    long[] carriedAt = new long[16];
    long[] coldNext = new long[16];

    /** The id's index, the next free one if it is new. */
    int of(String id) {
        Integer known = index.get(id);
        if (known != null) {
            return known;
        }
        int u = index.size();
        index.put(id, u);
        if (u == entry.length) {
            int n = u * 2;
            entry = Arrays.copyOf(entry, n);
            group = Arrays.copyOf(group, n);
            inFlight = Arrays.copyOf(inFlight, n);
            straightFailures = Arrays.copyOf(straightFailures, n);
            sick = Arrays.copyOf(sick, n);
            slowness = Arrays.copyOf(slowness, n);
            silentSince = Arrays.copyOf(silentSince, n);
            carried = Arrays.copyOf(carried, n);
            carriedAt = Arrays.copyOf(carriedAt, n);
            coldNext = Arrays.copyOf(coldNext, n);
        }
        return u;
    }
}
