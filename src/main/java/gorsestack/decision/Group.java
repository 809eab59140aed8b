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
}
