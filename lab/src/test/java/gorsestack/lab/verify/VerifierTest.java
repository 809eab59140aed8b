package gorsestack.lab.verify;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.lab.report.RunContext;
import gorsestack.lab.report.RunResult;
import gorsestack.lab.scenario.Period;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.verify.Records.ClientRequest;
import gorsestack.lab.verify.Records.EndpointChange;
import gorsestack.lab.verify.Records.InjectedFault;
import gorsestack.lab.verify.Records.LoopDelay;
import gorsestack.lab.verify.Records.StatusDelivery;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests rules and metrics on constructed records: some contain a violation of a rule, others only resemble one. Guards against
 * violations that go undetected and against verdicts that blame a balancer for something that it did not cause.
 */
class VerifierTest {
    private static final long MS = 1_000_000;
    private static final String SCENARIO = """
            name = "judge"
            about = "records"
            seconds = 60
            [fleet]
            balancers = 2
            [[tiers]]
            [load]
            rate = 10
            """;
    private final Records records = new Records();
    private Scenario scenario;

    @TempDir
    private Path folder;

    @BeforeEach
    void readScenario() throws Exception {
        scenario = ScenarioReader.read("judge", SCENARIO);
    }

    private void clientRequest(String id, String product, long startMs, long endMs, String outcome, boolean correct) {
        records.clientRequests.add(new ClientRequest(
                id,
                records.clientRequests.size(),
                0,
                product,
                "a",
                0,
                startMs * MS,
                startMs * MS,
                3000 * MS,
                endMs * MS,
                outcome,
                true,
                correct,
                0,
                true,
                "clients-a",
                ""));
    }

    private void upstreamAttempt(
            String id, String product, int upstream, long startMs, String outcome, long responseMs) {
        String zone = upstream % 2 == 0 ? "a" : "b";
        records.upstreamAttempts.add(new UpstreamAttempt(
                id,
                "",
                product,
                0,
                upstream,
                zone,
                0,
                0,
                startMs * MS,
                startMs * MS,
                outcome,
                !outcome.equals("unprocessed"),
                responseMs < 0 ? Records.NEVER : responseMs * MS));
    }

    private String violatedRules() {
        return String.join(
                " ",
                new Verifier(scenario, records)
                        .verify().violations().stream().map(Violation::rule).toList());
    }

    @Test
    void findsNoViolationInRecordsThatComply() {
        clientRequest("a", "read", 0, 30, "200", true);
        upstreamAttempt("a", "read", 0, 1, "served", 29);
        clientRequest("b", "read", 0, 3000, "504", false);
        clientRequest("c", "write", 0, 30, "refused", false);
        clientRequest("d", "write", 0, 30, "429", false);
        upstreamAttempt("d", "write", 0, 1, "unprocessed", 5);
        upstreamAttempt("d", "write", 1, 6, "unprocessed", 8);
        clientRequest("e", "publish", 0, 30, "200", true);
        upstreamAttempt("e", "publish", 0, 1, "cancelled", -1);
        upstreamAttempt("e", "publish", 2, 6, "served", 20);
        assertEquals("", violatedRules());
    }

    @Test
    void detectsLateMissingWrongAndExtraResponses() {
        clientRequest("late", "read", 0, 3100, "504", false);
        assertEquals("lost", violatedRules());
        clientRequest("never", "read", 0, 3300, "timeout", false);
        assertEquals("lost lost", violatedRules());
        clientRequest("wrong", "read", 0, 20, "200", false);
        assertEquals("lost lost lost", violatedRules());
        clientRequest("closed", "read", 0, 20, "closed", false);
        assertEquals("lost lost lost", violatedRules(), "the request was not forwarded, so it failed but is not lost");
        upstreamAttempt("closed", "read", 0, 5, "served", 10);
        assertEquals("lost lost lost lost", violatedRules());
        records.extraResponses.add(new Records.ExtraResponse(0, "a", 50 * MS));
        assertEquals(5, new Verifier(scenario, records).verify().violations().size());
    }

    @Test
    void detectsAttemptThatStartsAfterResponse() {
        clientRequest("a", "read", 0, 30, "200", true);
        upstreamAttempt("a", "read", 0, 1, "served", 29);
        upstreamAttempt("a", "read", 1, 60, "cancelled", -1);
        assertEquals("", violatedRules(), "the attempt was still in transit when the response was sent");
        upstreamAttempt("a", "read", 1, 90, "cancelled", -1);
        assertEquals("lost", violatedRules());
    }

    @Test
    void detectsDuplicateExecution() {
        upstreamAttempt("a", "write", 0, 1, "served", 29);
        upstreamAttempt("a", "write", 1, 40, "served", 60);
        assertEquals("dup", violatedRules());
        upstreamAttempt("b", "write", 0, 1, "cancelled", -1);
        upstreamAttempt("b", "write", 1, 40, "unprocessed", 41);
        assertEquals("dup dup", violatedRules(), "a cancelled attempt may have been executed");
        upstreamAttempt("c", "write", 0, 1, "unprocessed", 50);
        upstreamAttempt("c", "write", 1, 40, "served", 60);
        assertEquals("dup dup dup", violatedRules(), "the upstream had not responded when the second attempt started");
        upstreamAttempt("d", "publish", 0, 1, "served", 29);
        upstreamAttempt("d", "publish", 1, 40, "served", 60);
        assertEquals("dup dup dup dup", violatedRules(), "idempotency keys are not shared with another zone");
        upstreamAttempt("e", "publish", 0, 1, "error", -1);
        upstreamAttempt("e", "publish", 2, 7000, "served", 7020);
        assertEquals("dup dup dup dup dup", violatedRules(), "the second attempt is after the deduplication window");
        upstreamAttempt("f", "read", 0, 1, "served", 29);
        upstreamAttempt("f", "read", 1, 40, "served", 60);
        assertEquals(
                5,
                new Verifier(scenario, records).verify().violations().size(),
                "idempotent requests may be executed again");
    }

    @Test
    void detectsRejectionOfRequestThatMayHaveBeenExecuted() {
        clientRequest("a", "write", 0, 30, "429", false);
        upstreamAttempt("a", "write", 0, 1, "spoilt", -1);
        assertEquals("dup", violatedRules());
        clientRequest("b", "publish", 0, 30, "503", false);
        upstreamAttempt("b", "publish", 0, 1, "cancelled", -1);
        assertEquals("dup dup", violatedRules());
        clientRequest("c", "read", 0, 30, "429", false);
        upstreamAttempt("c", "read", 0, 1, "cancelled", -1);
        assertEquals("dup dup", violatedRules());
    }

    @Test
    void detectsAttemptAfterDrain() {
        records.endpointChanges.add(new EndpointChange(0, "terminating", 1000 * MS));
        records.statusDeliveries.add(new StatusDelivery(0, 0, "terminating", 1500 * MS));
        upstreamAttempt("a", "read", 0, 3500, "served", 3520);
        assertEquals("", violatedRules(), "the attempt is within the grace period");
        upstreamAttempt("b", "read", 0, 3600, "served", 3620);
        assertEquals("drain", violatedRules());
        records.endpointChanges.add(new EndpointChange(0, "in_service", 4000 * MS));
        upstreamAttempt("c", "read", 0, 9000, "served", 9020);
        assertEquals("drain", violatedRules(), "back");
    }

    @Test
    void deemsBalancerNotifiedWhenDeadlineHasPassed() {
        records.endpointChanges.add(new EndpointChange(0, "terminating", 1000 * MS));
        upstreamAttempt("a", "read", 0, 9000, "served", 9020);
        assertEquals("", violatedRules());
        upstreamAttempt("b", "read", 0, 9100, "served", 9120);
        assertEquals("drain", violatedRules());
    }

    @Test
    void excusesBalancerThatWasStoppedOrKilled() {
        records.endpointChanges.add(new EndpointChange(0, "terminating", 1000 * MS));
        records.statusDeliveries.add(new StatusDelivery(0, 0, "terminating", 1500 * MS));
        records.processEvents.add(new Records.ProcessEvent(0, "stop", 1400 * MS));
        records.processEvents.add(new Records.ProcessEvent(0, "cont", 5000 * MS));
        upstreamAttempt("a", "read", 0, 6900, "served", 6920);
        assertEquals("", violatedRules());
        upstreamAttempt("b", "read", 0, 7100, "served", 7120);
        assertEquals("drain", violatedRules());
        clientRequest("c", "read", 1200, 5100, "504", false);
        assertEquals("drain", violatedRules(), "the balancer was stopped when the deadline passed");
        records.processEvents.add(new Records.ProcessEvent(0, "kill", 8000 * MS));
        records.processEvents.add(new Records.ProcessEvent(0, "start", 9000 * MS));
        clientRequest("d", "read", 7990, 8000, "closed", false);
        upstreamAttempt("d", "read", 1, 7995, "served", 7999);
        assertEquals("drain", violatedRules());
        clientRequest("e", "read", 9500, 20_000, "timeout", false);
        assertEquals("drain lost", violatedRules());
    }

    @Test
    void excusesFaultOfClientLinkToSameBalancerOnly() {
        records.injectedFaults.add(new InjectedFault(0, "drop", 1000 * MS, 2000 * MS, List.of("clients-a>n0"), true));
        clientRequest("a", "read", 500, 3800, "timeout", false);
        assertEquals("", violatedRules());
        records.injectedFaults.clear();
        records.injectedFaults.add(new InjectedFault(0, "drop", 1000 * MS, 2000 * MS, List.of("clients-a>n1"), true));
        assertEquals("lost", violatedRules());
    }

    @Test
    void detectsOverloadDuringSlowStart() {
        records.slowStartOverloads.add(new Records.SlowStartOverload(0, 50 * MS, 300, 100));
        assertEquals("cold", violatedRules());
    }

    private double timeToFullService() {
        return new RunMetrics(scenario, records, 0).get("time_to_full_s", Period.ALL);
    }

    private RunResult result() {
        return RunResult.of(scenario, records, new RunContext(1, "v", "t", Map.of(), null, null));
    }

    /** Guards against the verdict FAIL for delays of the lab, which on a busy machine look like delays of the balancer. */
    @Test
    void verdictIsVoidInsteadOfFailIfLabWasDelayed() {
        clientRequest("never", "read", 0, 3300, "timeout", false);
        records.loopDelays.add(new LoopDelay(100, 4_900, 20_000));
        assertEquals("FAIL", result().verdict());
        records.loopDelays.set(0, new LoopDelay(100, 5_100, 20_000));
        assertEquals("VOID", result().verdict());
        assertEquals(3, result().exitCode());
        assertTrue(result().line().startsWith("VOID: the machine was too busy"), result().line());
    }

    @Test
    void recordsAreEqualAfterWriteAndRead() throws Exception {
        detectsAttemptAfterDrain();
        clientRequest("c", "read", 1200, 5100, "504", false);
        records.processEvents.add(new Records.ProcessEvent(0, "kill", 8000 * MS));
        records.injectedFaults.add(new InjectedFault(0, "drop", 1000 * MS, 2000 * MS, List.of("clients-a>n0"), true));
        records.slowStartOverloads.add(new Records.SlowStartOverload(0, 50 * MS, 300, 100));
        records.loopDelays.add(new LoopDelay(1, 2, 3));
        records.secondSamples.add(new Records.SecondSample(0, 1, 2, 3));
        records.listCalls.add(new Records.ListCall(0, 5, "watch"));
        records.connectionsOpened.add(new Records.ConnectionOpened(1, 2, 3));
        records.write(folder.resolve("r.zst"));
        Records read = Records.read(folder.resolve("r.zst"));
        assertEquals(records.clientRequests, read.clientRequests);
        assertEquals(records.upstreamAttempts, read.upstreamAttempts);
        assertEquals(records.statusDeliveries, read.statusDeliveries);
        assertEquals(records.injectedFaults, read.injectedFaults);
        assertEquals(records.secondSamples, read.secondSamples);
        assertEquals(records.listCalls, read.listCalls);
        assertEquals(records.connectionsOpened, read.connectionsOpened);
        assertEquals(records.endpointChanges, read.endpointChanges);
        assertEquals(records.slowStartOverloads, read.slowStartOverloads);
        assertEquals(records.processEvents, read.processEvents);
        assertEquals(records.loopDelays, read.loopDelays);
    }

    @Test
    void computesTimeToFullServiceAfterFault() {
        for (int i = 0; i < 6000; i++) {
            // The rate is 100 calls per second; one call in five fails from 20 s to 23.5 s.
            long at = i * 10L;
            boolean fails = at >= 20_000 && at < 23_500 && i % 5 == 0;
            clientRequest("c" + i, "read", at, at + 20, fails ? "502" : "200", !fails);
        }
        assertEquals(0, timeToFullService(), "without a fault, service is always full");
        records.injectedFaults.add(new InjectedFault(0, "kill", 20_000 * MS, 20_000 * MS, List.of("n0"), true));
        assertEquals(3.5, timeToFullService(), 0.11);
        RunMetrics metrics = new RunMetrics(scenario, records, 0);
        assertEquals(0.8, metrics.get("served_worst_second", Period.ALL), 1e-9);
        assertEquals(1, metrics.get("served", Period.BEFORE), 1e-9);
        assertEquals(70 / 6000.0, metrics.get("errored", Period.ALL), 1e-9);
        assertEquals(70 / 3000.0, metrics.get("errored", Period.AFTER), 1e-9);
        assertEquals(1, metrics.get("regained", Period.ALL), 1e-9);
        for (int i = 0; i < 6000; i += 5) {
            records.clientRequests.set(
                    i,
                    new ClientRequest(
                            "x" + i,
                            i,
                            0,
                            "read",
                            "a",
                            0,
                            i * 10L * MS,
                            0,
                            3000 * MS,
                            i * 10L * MS,
                            "502",
                            true,
                            false,
                            0,
                            true,
                            "clients-a",
                            ""));
        }
        records.injectedFaults.set(0, new InjectedFault(0, "kill", 50_000 * MS, 50_000 * MS, List.of(), true));
        assertEquals(0, timeToFullService(), 0.11, "the served fraction was 0.8 even before the fault");
        records.injectedFaults.set(0, new InjectedFault(0, "kill", 12_000 * MS, 12_000 * MS, List.of(), true));
        assertEquals(
                1,
                new RunMetrics(scenario, records, 0).get("regained", Period.ALL),
                0.01,
                "the served fraction is 0.8 before and after the fault");
    }

    /** Guards against an earlier error: the second that contains a kill at 15.0003 s was counted as before the kill. */
    @Test
    void secondThatContainsFaultCountsAsAfterIt() {
        records.injectedFaults.add(
                new InjectedFault(0, "kill", 15_000 * MS + 300_000, 15_000 * MS + 300_000, List.of("n0"), true));
        for (int second = 0; second < 20; second++) {
            records.secondSamples.add(new Records.SecondSample(second, 0, second == 15 ? 63 : second == 14 ? 2 : 1, 0));
        }
        RunMetrics metrics = new RunMetrics(scenario, records, 0);
        assertEquals(
                "2.0 63.0 31.5",
                metrics.get("peak_connections", Period.BEFORE) + " " + metrics.get("peak_connections", Period.AFTER)
                        + " " + metrics.get("peak_connections_over_steady", Period.ALL));
    }

    /** The first connection to each upstream is inevitable after a start; only later ones count as further connections. */
    @Test
    void excludesFirstConnectionAfterStartFromFurtherConnections() {
        records.injectedFaults.add(new InjectedFault(0, "kill", 15_000 * MS, 15_000 * MS, List.of("n0"), true));
        records.processEvents.addAll(List.of(
                new Records.ProcessEvent(0, "start", -9_000 * MS),
                new Records.ProcessEvent(1, "start", -9_000 * MS),
                new Records.ProcessEvent(0, "ready", 0),
                new Records.ProcessEvent(0, "kill", 15_000 * MS),
                new Records.ProcessEvent(0, "start", 15_010 * MS),
                new Records.ProcessEvent(0, "ready", 16_200 * MS)));
        for (long[] connection : new long[][] {
            {0, 0, 1_000},
            {0, 0, 2_000},
            {0, 1, 2_100},
            {1, 0, 2_200},
            {0, 0, 16_000},
            {0, 1, 16_100},
            {1, 0, 16_150},
            {0, 0, 16_300},
            {0, 0, 16_400}
        }) {
            records.connectionsOpened.add(
                    new Records.ConnectionOpened((int) connection[0], (int) connection[1], connection[2] * MS));
        }
        RunMetrics metrics = new RunMetrics(scenario, records, 0);
        assertEquals(
                "1.0 3.0 3.0",
                metrics.get("peak_further_connections", Period.BEFORE) + " "
                        + metrics.get("peak_further_connections", Period.AFTER) + " "
                        + metrics.get("peak_further_connections_over_steady", Period.ALL));
        assertEquals(1.19, metrics.get("start_s", Period.ALL), 1e-9);
        records.processEvents.add(new Records.ProcessEvent(1, "start", 17_000 * MS));
        assertEquals(RunMetrics.NEVER, new RunMetrics(scenario, records, 0).get("start_s", Period.ALL));
    }

    @Test
    void peakIsLargestCountInAnyIntervalOfOneSecond() {
        assertEquals(4, PeakMetrics.peak(new long[] {900 * MS, 1500 * MS, 1850 * MS, 1899 * MS}, 0, 5000 * MS));
        assertEquals(2, PeakMetrics.peak(new long[] {900 * MS, 1500 * MS, 1850 * MS, 1899 * MS}, 1600 * MS, 5000 * MS));
    }
}
