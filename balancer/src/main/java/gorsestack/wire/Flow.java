package gorsestack.wire;

import gorsestack.settings.Limits;

/** Bodies under way that are too large to be kept: how much of each may wait to go out, and how much for a taker. */
public final class Flow {
    private final Limits limits;
    private int open;
    /** Bytes of all that were read and wait for whoever takes them. */
    private int ahead;

    public Flow(Limits limits) {
        this.limits = limits;
    }

    void begun() {
        open++;
    }

    void ended() {
        open--;
    }

    void ahead(int change) {
        ahead += change;
    }

    /**
     * Whether more of one is read that nobody takes yet and of which so much waits. Danger: its client's end is seen only behind it, and
     * attempts are begun for one that has gone; but bodies reach 32 MB, and those of all together are bounded by a part of the heap.
     */
    boolean readsAhead(int waiting) {
        return waiting <= most() || waiting <= limits.untakenBytes() && ahead <= limits.allFlowBytes() / 2;
    }

    /** Danger: many at a time, each within its bound, are more than the heap. */
    int most() {
        return Math.max(4 << 10, Math.min(limits.flowBytes(), limits.allFlowBytes() / Math.max(1, open)));
    }
}
