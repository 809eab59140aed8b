package gorsestack.fleet;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Tests consensus, leases and fencing tokens in simulations with random faults. A failed seed prints the events that led to the violation.
 */
class ClusterSimulationTest {
    /** The reference keeps the logger alive, because a logger that is garbage collected loses its level. */
    private static final Logger RAFT = Logger.getLogger("io.microraft");

    private static final long SECONDS = 1_000_000_000L;
    private static final int SEEDS = Integer.getInteger("gorsestack.test.schedules", 150);

    @BeforeAll
    static void disableRaftLogs() {
        RAFT.setLevel(Level.OFF);
    }

    @Test
    void keepsInvariantsUnderRandomFaults() {
        long acquisitions = 0;
        long effects = 0;
        long rejected = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            ClusterSimulation simulation = new ClusterSimulation(ClusterSimulation.Bug.NONE, seed);
            simulation.run(60 * SECONDS);
            assertNull(simulation.violation, "seed " + seed + "\n" + String.join("\n", simulation.history()));
            acquisitions += simulation.acquisitions;
            effects += simulation.effects;
            rejected += simulation.rejected;
        }
        System.getLogger("gorsestack.test")
                .log(
                        System.Logger.Level.INFO,
                        "{0} simulations: {1} acquisitions, {2} effects accepted, {3} stale effects rejected",
                        SEEDS,
                        acquisitions,
                        effects,
                        rejected);
        assertTrue(
                acquisitions > 5L * SEEDS && effects > 100L * SEEDS && rejected > SEEDS,
                acquisitions + " " + effects + " " + rejected);
    }

    /**
     * The owner is killed, paused or cut off. If it also leads the Raft group, another leader has to be elected first, which sometimes
     * takes two attempts.
     */
    @Test
    void anotherMemberOwnsLeaseWithinOneAndAHalfDurationsInMostRuns() {
        for (String fault : List.of("kill", "stop", "cut")) {
            long[] gaps = new long[50];
            for (int seed = 0; seed < gaps.length; seed++) {
                gaps[seed] =
                        new ClusterSimulation(ClusterSimulation.Bug.NONE, 1_000 + seed, false).timeWithoutOwner(fault);
                assertTrue(gaps[seed] >= 0, fault + ", seed " + seed);
            }
            Arrays.sort(gaps);
            System.getLogger("gorsestack.test")
                    .log(
                            System.Logger.Level.INFO,
                            "{0}: time without an owner: median {1} ms, 48 of 50 runs {2} ms, maximum {3} ms",
                            fault,
                            gaps[25] / ClusterSimulation.MS,
                            gaps[47] / ClusterSimulation.MS,
                            gaps[49] / ClusterSimulation.MS);
            assertTrue(
                    gaps[47] <= 1.5 * ClusterSimulation.LEASE_DURATION, fault + ": " + gaps[47] / ClusterSimulation.MS);
            assertTrue(
                    gaps[49] <= 2.5 * ClusterSimulation.LEASE_DURATION, fault + ": " + gaps[49] / ClusterSimulation.MS);
        }
    }

    /** Proves that the checks find the faults that they are meant to find. */
    @Test
    void findsEachPlantedBug() {
        for (ClusterSimulation.Bug bug : ClusterSimulation.Bug.values()) {
            if (bug == ClusterSimulation.Bug.NONE) {
                continue;
            }
            String violation = null;
            int seed = 0;
            while (violation == null && seed < 300) {
                ClusterSimulation simulation = new ClusterSimulation(bug, ++seed);
                simulation.run(60 * SECONDS);
                violation = simulation.violation;
            }
            assertNotNull(violation, bug + " not found in " + seed + " simulations");
            System.getLogger("gorsestack.test")
                    .log(System.Logger.Level.INFO, "{0} found by seed {1}: {2}", bug, seed, violation);
        }
    }
}
