package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.pendingCallsDuring;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.decision.Settings.Scope;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the policy as a whole against a reference model of its rules, and the state that one process passes to its successor. */
@SuppressWarnings("EnumOrdinal") // Values are drawn at random by their ordinal.
class BalancingPolicyTest {
    /** For random inputs in random order, the policy does nothing that the reference model forbids. */
    @Test
    void keepsRulesOfReferenceModelForRandomInputs() {
        for (int seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Settings settings = PolicySimulation.settings(
                    1 + random.nextInt(seed % 3 == 0 ? 1000 : 5),
                    random.nextInt(2),
                    1 + random.nextInt(4),
                    random.nextBoolean(),
                    Scope.values()[random.nextInt(3)]);
            PolicySimulation simulation = withSixUpstreams(
                    seed % 2 == 0
                            ? settings
                            : PolicySimulation.reporting(settings, random.nextInt(settings.instances())),
                    seed);
            int maxLatencyMillis = 20 + random.nextInt(1500);
            double failureFraction = random.nextDouble();
            for (int i = 0; i < 400; i++) {
                simulation.runTo(simulation.now + random.nextInt(40) * MS);
                String id = "c" + i;
                long remainingTime = (1 + random.nextInt(1200)) * MS;
                boolean bodyArriving = random.nextInt(8) == 0;
                simulation.call(
                        id,
                        List.of("read", "mark", "once").get(random.nextInt(3)),
                        bodyArriving ? Long.MAX_VALUE : remainingTime);
                if (bodyArriving) {
                    simulation.schedule(
                            simulation.now + random.nextInt(900) * MS,
                            () -> simulation.completeRequestBody(id, remainingTime));
                }
                if (random.nextInt(30) == 0) {
                    simulation.setMaintenance("u" + random.nextInt(6), random.nextBoolean());
                    simulation.policy.setQuota(simulation.now, random.nextBoolean() ? 1 : 0.5);
                    simulation.policy.restoreLearned(
                            simulation.now,
                            List.of(
                                    LearnedLocality.ofRow(random.nextInt(9) - 1, 0.3, 0.2, 5),
                                    LearnedLocality.ofRow(Double.NaN, 1, 1, 1),
                                    LearnedLocality.ofRow()));
                }
                for (int k = 0; k < 4; k++) {
                    int attempt = k;
                    Outcome outcome = random.nextDouble() > failureFraction
                            ? Outcome.FULFILLED
                            : Outcome.values()[random.nextInt(10)];
                    simulation.schedule(simulation.now + random.nextInt(maxLatencyMillis) * MS, () -> {
                        if (simulation.calls.get(id).attempts.size() > attempt) {
                            simulation.end(id, attempt, outcome);
                        }
                    });
                }
                if (random.nextInt(20) == 0) {
                    int number = random.nextInt(6);
                    EndpointState state = EndpointState.values()[random.nextInt(3)];
                    simulation.updateEndpoints(
                            Kind.DELTA,
                            entry(
                                    "u" + number,
                                    state,
                                    random.nextInt(3) == 0 ? simulation.now : 0,
                                    number / 2,
                                    number < 3 ? "a" : "b"));
                }
                // Load reports and peer messages are partly valid and partly malformed.
                double[] values = {-1, 0, 3, 40, 1e300, Double.NaN, Double.POSITIVE_INFINITY};
                double[] row = random.doubles(random.nextInt(4))
                        .map(x -> values[(int) (x * 7)])
                        .toArray();
                simulation.policy.onLoadReport(
                        simulation.now, "u" + random.nextInt(8), random.nextInt(9) == 0 ? null : row);
                byte[] message = new byte[random.nextInt(300)];
                random.nextBytes(message);
                if (!simulation.peerMessages.isEmpty() && random.nextBoolean()) {
                    message = simulation.peerMessages.get(random.nextInt(simulation.peerMessages.size()));
                } else if (message.length > 0) {
                    message[0] = (byte) random.nextInt(3);
                }
                simulation.policy.onPeerMessage(simulation.now, message);
                if (random.nextInt(100) == 0) {
                    simulation.updateEndpoints(Kind.FAILED);
                }
            }
            simulation.settle();
        }
    }

    /**
     * Guards against slow learning of the baseline latency. At a site whose calls take 0.4 of their SLO without queueing, with a few calls
     * in that time, a locality at its minimum limit needed twenty responses, half a minute, and rejected two calls in three meanwhile.
     */
    @Test
    void learnsBaselineLatencyFromFewResponsesAtMinimumLimit() {
        // The upstream is the only one of another zone, so this balancer's minimum limit there is one call.
        PolicySimulation simulation = new PolicySimulation(PolicySimulation.settings(3, 0, 2, false, Scope.ALL), 1);
        simulation.updateEndpoints(Kind.CACHED, entry("u0", EndpointState.READY, 0, 0, "b"));
        for (int i = 0; i < 60; i++) {
            String id = "c" + i;
            simulation.call(id, "once", 990 * MS);
            if (!simulation.calls.get(id).attempts.isEmpty()) {
                simulation.fulfilLater(id, 180 * MS);
            }
            simulation.runTo(simulation.now + 60 * MS);
        }
        LearnedLocality learned = simulation.policy.exportLearned().get(1);
        assertTrue(learned.concurrencyLimit() < 1.2, "concurrency limit " + learned.concurrencyLimit());
        // The limit reached its minimum about 2.4 s, six SLOs, earlier; since then 13 calls got responses after 0.45 of
        // their SLO.
        assertTrue(
                learned.baselineLatencyRatio() > 0.25 && learned.baselineLatencyRatio() < 0.45,
                "baseline latency as a fraction of the SLO: " + learned.baselineLatencyRatio());
    }

    /** Guards against two processes of one balancer that each use its whole budget, and against a successor that has to learn again. */
    @Test
    void lowersLimitsByQuotaAndRestoresLearnedStateInSuccessor() {
        PolicySimulation whole = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        int maxInFlightOfWhole =
                pendingCallsDuring(whole, 300, 5 * MS, 600 * MS).getMax();
        PolicySimulation half = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        half.policy.setQuota(half.now, 0.5);
        int maxInFlightOfHalf = pendingCallsDuring(half, 300, 5 * MS, 600 * MS).getMax();
        assertTrue(maxInFlightOfHalf < 0.7 * maxInFlightOfWhole, maxInFlightOfHalf + " against " + maxInFlightOfWhole);
        PolicySimulation predecessor = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        pendingCallsDuring(predecessor, 1_500, 10 * MS, 130 * MS);
        PolicySimulation successor = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        successor.policy.restoreLearned(successor.now, predecessor.policy.exportLearned());
        assertTrue(pendingCallsDuring(successor, 60, MS, 500 * MS).getMax()
                > 1.2
                        * pendingCallsDuring(
                                        withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1),
                                        60,
                                        MS,
                                        500 * MS)
                                .getMax());
    }
}
