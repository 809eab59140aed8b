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

/** Agreement, leases and fences under random schedules; a seed that fails prints what led to it. */
class ClusterSimulationTest {
    /** Held here, as a logger that nobody holds forgets its level. */
    private static final Logger RAFT = Logger.getLogger("io.microraft");

    private static final long SECONDS = 1_000_000_000L;
    private static final int SEEDS = Integer.getInteger("gorsestack.test.schedules", 150);

    @BeforeAll
    static void quiet() {
        RAFT.setLevel(Level.OFF);
    }

    @Test
    void noSeedBreaksAnything() {
        long takings = 0;
        long effects = 0;
        long refused = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            ClusterSimulation s = new ClusterSimulation(ClusterSimulation.Bug.NONE, seed);
            s.run(60 * SECONDS);
            assertNull(s.wrong, "seed " + seed + "\n" + String.join("\n", s.story()));
            takings += s.takings;
            effects += s.effects;
            refused += s.refused;
        }
        System.getLogger("gorsestack.test")
                .log(
                        System.Logger.Level.INFO,
                        "{0} schedules: {1} takings, {2} effects taken, {3} late ones refused",
                        SEEDS,
                        takings,
                        effects,
                        refused);
        assertTrue(
                takings > 5L * SEEDS && effects > 100L * SEEDS && refused > SEEDS,
                takings + " " + effects + " " + refused);
    }

    /** Killed, stopped or cut off; where it leads the agreement too, another leader has to be elected first, now and then in two tries. */
    @Test
    void anotherOwnsItWithinALeaseAndAHalfNearlyAlways() {
        for (String what : List.of("kill", "stop", "cut")) {
            long[] gaps = new long[50];
            for (int seed = 0; seed < gaps.length; seed++) {
                gaps[seed] = new ClusterSimulation(ClusterSimulation.Bug.NONE, 1_000 + seed, false).without(what);
                assertTrue(gaps[seed] >= 0, what + ", seed " + seed);
            }
            Arrays.sort(gaps);
            System.getLogger("gorsestack.test")
                    .log(
                            System.Logger.Level.INFO,
                            "{0}: without an owner for {1} ms, {2} ms of 48 in 50, at most {3} ms",
                            what,
                            gaps[25] / ClusterSimulation.MS,
                            gaps[47] / ClusterSimulation.MS,
                            gaps[49] / ClusterSimulation.MS);
            assertTrue(gaps[47] <= 1.5 * ClusterSimulation.LENGTH, what + ": " + gaps[47] / ClusterSimulation.MS);
            assertTrue(gaps[49] <= 2.5 * ClusterSimulation.LENGTH, what + ": " + gaps[49] / ClusterSimulation.MS);
        }
    }

    /** The check finds what it is there for. */
    @Test
    void eachPlantedBugIsFound() {
        for (ClusterSimulation.Bug bug : ClusterSimulation.Bug.values()) {
            if (bug == ClusterSimulation.Bug.NONE) {
                continue;
            }
            String wrong = null;
            int seed = 0;
            while (wrong == null && seed < 300) {
                ClusterSimulation s = new ClusterSimulation(bug, ++seed);
                s.run(60 * SECONDS);
                wrong = s.wrong;
            }
            assertNotNull(wrong, bug + " not found in " + seed + " schedules");
            System.getLogger("gorsestack.test")
                    .log(System.Logger.Level.INFO, "{0} found by seed {1}: {2}", bug, seed, wrong);
        }
    }
}
