package gorsestack.decision;

/** An ordered group of upstreams, a zone's: what is kept in sums so that no call walks the fleet. */
final class Group {
    int[] members = {};
    int cursor;
    int held;
    double heldLately;
    long heldAt;
    int ill;
    int warm;
    long backAt;
    long illAt;
    double room;
    double least;
    double lateness;
    double bare;
    long cutAt;
    long learntAt;
    double meanWeight;
    double does;
    double crowd;
    double late;
    double full;
    double answered;
    long answeredAt;

    /** Counts a shot in or out, and keeps the mean held over the last SLO or so. */
    void hold(long now, Settings.Product product, int change) {
        double weight = Math.exp((heldAt - now) / (double) product.slo());
        heldLately = held + (heldLately - held) * weight;
        heldAt = now;
        held += change;
    }

    /** Its answers, fading over a quarter of the cold time: a few calls long, following the load. */
    double answeredNow(long now, long cold) {
        return answered * Math.exp((answeredAt - now) * 4.0 / Math.max(1, cold));
    }
}
