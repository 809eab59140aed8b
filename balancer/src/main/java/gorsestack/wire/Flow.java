package gorsestack.wire;

import gorsestack.settings.Limits;

/** Bodies under way that are too large to be kept: how much of each may wait to go out. */
public final class Flow {
    private final Limits limits;
    private int open;

    public Flow(Limits limits) {
        this.limits = limits;
    }

    void begun() {
        open++;
    }

    void ended() {
        open--;
    }

    /** Danger: many at a time, each within its bound, are more than the heap. */
    int most() {
        return Math.max(4 << 10, Math.min(limits.flowBytes(), limits.allFlowBytes() / Math.max(1, open)));
    }
}
