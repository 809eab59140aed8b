package gorsestack.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The schedule of one seed of the soak: a fleet, and two or three disturbances that overlap. A seed always has the same schedule.
 * Immutable.
 */
public record Schedule(long seed, int balancers, double recoverySeconds, List<Disturbance> disturbances) {
    /**
     * Time after the last disturbance, in seconds. It is enough for late notifications, for slow starts, and for ten seconds in which
     * service has to be full.
     */
    public static final double RECOVERY_SECONDS = 26;

    /** Earliest start of a disturbance, in seconds. */
    private static final double MIN_START_TIME = 4;
    /** Maximum time between the starts of two disturbances, in seconds, so that they overlap. */
    private static final double MAX_OFFSET = 3;

    private static final int MIN_DISTURBANCES = 2;
    private static final int MAX_DISTURBANCES = 3;
    /** Calls per second of each balancer. */
    private static final double CALLS_PER_BALANCER = 6;

    /** Draws the schedule of a seed. */
    public static Schedule of(long seed, int balancers, double recoverySeconds) {
        SplittableRandom random = new SplittableRandom(seed * 0x9e3779b97f4a7c15L + 1);
        int count = MIN_DISTURBANCES + random.nextInt(MAX_DISTURBANCES - MIN_DISTURBANCES + 1);
        List<Disturbance> disturbances = new ArrayList<>();
        List<Integer> drawnKinds = new ArrayList<>();
        while (disturbances.size() < count) {
            int kind = random.nextInt(Disturbance.kinds());
            if (!drawnKinds.contains(kind)) {
                drawnKinds.add(kind);
                disturbances.add(Disturbance.draw(kind, random, MIN_START_TIME + MAX_OFFSET * random.nextDouble()));
            }
        }
        return new Schedule(seed, balancers, recoverySeconds, disturbances);
    }

    /** Returns the same schedule without one of its disturbances. */
    public Schedule without(int disturbance) {
        List<Disturbance> remaining = new ArrayList<>(disturbances);
        remaining.remove(disturbance);
        return new Schedule(seed, balancers, recoverySeconds, remaining);
    }

    /** Returns the names of all disturbances. */
    public String names() {
        return String.join(" + ", disturbances.stream().map(Disturbance::name).toList());
    }

    /** Returns the schedule as the text of a scenario file. */
    public String scenario() {
        StringBuilder text = new StringBuilder();
        text.append("name = \"soak-")
                .append(seed)
                .append("\"\nabout = \"")
                .append(names())
                .append("\"\n");
        text.append("seconds = ")
                .append(MIN_START_TIME + MAX_OFFSET + Disturbance.MAX_DURATION + recoverySeconds)
                .append("\nlead = 2\nsettle = 5\nzones = [\"a\", \"b\"]\n");
        text.append("[fleet]\nbalancers = ")
                .append(balancers)
                .append("\nmgmt = true\nstate = true\npeers = ")
                .append(seed % 2 == 0)
                .append("\nsockets = 512\n");
        text.append("[[tiers]]\nupstreams = ").append(8 + seed % 5).append("\ncells = 2\ncalls = 0\n");
        text.append("[load]\nrate = ").append(balancers * CALLS_PER_BALANCER).append("\ntries = 2\nleave = 0.1\n");
        disturbances.forEach(disturbance -> text.append(disturbance.faults()));
        text.append("[[invariants]]\nfigure = \"served\"\nover = \"end\"\nat_least = 0.9\n");
        text.append("[[invariants]]\nfigure = \"killed_after_term\"\nat_most = 0\n");
        return text.toString();
    }
}
