package gorsestack.lab.report;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.lab.scenario.InvalidScenarioException;
import gorsestack.lab.scenario.Period;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.Scenario.Invariant;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.verify.Records;
import gorsestack.lab.verify.Records.InjectedFault;
import gorsestack.lab.verify.RunMetrics;
import gorsestack.lab.verify.Verifier;
import gorsestack.lab.verify.Violation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The result of a run, as stored in result.json; docs/lab.md describes its keys. It depends only on the scenario, the records and
 * the context of the run, so that a stored run can be verified again.
 */
public record RunResult(
        int schema,
        String scenario,
        String about,
        long seed,
        String version,
        @JsonProperty("began") String startedAt,
        Map<String, Object> machine,
        String verdict,
        @JsonProperty("why") String reason,
        @JsonProperty("broken") Map<String, Integer> violationCounts,
        @JsonProperty("first") List<String> firstViolations,
        @JsonProperty("figures") Map<String, Double> metrics,
        List<InvariantResult> invariants,
        List<InjectedFault> faults) {

    /** The result of one invariant: the actual value of its metric, and whether the invariant holds. */
    public record InvariantResult(
            @JsonProperty("figure") String metric,
            @JsonProperty("over") String period,
            @JsonProperty("wanted") String expected,
            @JsonProperty("was") double actual,
            boolean holds) {

        static InvariantResult of(Invariant invariant, RunMetrics metrics) {
            double actual = metrics.get(invariant.metric(), invariant.period());
            return new InvariantResult(
                    invariant.metric(),
                    invariant.period().key(),
                    invariant.expected(),
                    round(actual),
                    invariant.holds(actual));
        }

        private String failure() {
            return metric + (period.equals(Period.ALL.key()) ? "" : " " + period) + ", " + actual + ", wanted "
                    + expected;
        }
    }

    /** The version of the format of result.json. */
    public static final int SCHEMA = 1;

    /** The verdict of a run without violations of rules or invariants. */
    public static final String PASS = "PASS";
    /** The verdict of a run in which a rule or an invariant was violated, a balancer crashed, or the balancers did not start. */
    public static final String FAIL = "FAIL";
    /** The verdict of an inconclusive run. */
    public static final String VOID = "VOID";

    /** The name of the result file in the folder of its run. */
    public static final String FILE = "result.json";

    /** The name of the scenario file in the folder of a run. */
    public static final String SCENARIO_FILE = "scenario.toml";

    /** The name of the file of records in the folder of a run. */
    public static final String RECORDS_FILE = "records.jsonl.zst";

    /** The highest 99th percentile of the delay of the lab's event loop, in microseconds, at which its observations are still valid. */
    private static final long MAX_LOOP_DELAY_P99_US = 5_000;

    private static final int MAX_LISTED_VIOLATIONS = 20;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The metrics that are computed for the whole run only, in addition to those whose names end with steady. */
    private static final Set<String> WHOLE_RUN_ONLY = Set.of(
            "time_to_full_s",
            "regained",
            "start_s",
            "full_after_start_s",
            "lost",
            "crashes",
            "killed_after_term",
            "datagrams_per_second");

    /** Verifies the records of a run and computes its result. */
    public static RunResult of(Scenario scenario, Records records, RunContext context) {
        Verifier verifier = new Verifier(scenario, records).verify();
        RunMetrics runMetrics = new RunMetrics(scenario, records, verifier.lostCalls());
        Map<String, Double> metrics = metrics(runMetrics);
        List<InvariantResult> invariants = scenario.invariants().stream()
                .map(invariant -> InvariantResult.of(invariant, runMetrics))
                .toList();
        Map<String, Integer> violationCounts = new LinkedHashMap<>();
        verifier.violations().forEach(violation -> violationCounts.merge(violation.rule(), 1, Integer::sum));
        String voidReason = context.voidReason() != null ? context.voidReason() : voidReason(records);
        String failure = context.failure() != null
                ? context.failure()
                : failure(verifier.violations(), violationCounts, metrics, invariants);
        return new RunResult(
                SCHEMA,
                scenario.name(),
                scenario.about(),
                context.seed(),
                context.version(),
                context.startedAt(),
                context.machine(),
                voidReason != null ? VOID : failure != null ? FAIL : PASS,
                voidReason != null ? voidReason : failure != null ? failure : "",
                violationCounts,
                verifier.violations().stream()
                        .limit(MAX_LISTED_VIOLATIONS)
                        .map(RunResult::describe)
                        .toList(),
                metrics,
                invariants,
                records.injectedFaults);
    }

    private static String describe(Violation violation) {
        return String.format("%s at %.3f s: %s", violation.rule(), violation.at() / 1e9, violation.description());
    }

    private static Map<String, Double> metrics(RunMetrics runMetrics) {
        Map<String, Double> metrics = new LinkedHashMap<>();
        for (Period period : Period.values()) {
            String suffix = period == Period.ALL ? "" : "." + period.key();
            for (String metric : ScenarioReader.METRICS) {
                boolean runOnly = metric.endsWith("steady") || WHOLE_RUN_ONLY.contains(metric);
                if (period == Period.ALL || !runOnly) {
                    metrics.put(metric + suffix, round(runMetrics.get(metric, period)));
                }
            }
            metrics.put("worth" + suffix, round(runMetrics.valueFraction(period)));
        }
        return metrics;
    }

    /** Returns why the records are inconclusive, or null if they are not. */
    private static String voidReason(Records records) {
        if (records.loopDelays.isEmpty()) {
            return "the records contain no delay of the lab's event loop";
        }
        long p99 = records.loopDelays.get(0).p99();
        return p99 > MAX_LOOP_DELAY_P99_US
                ? "the machine was too busy: the 99th percentile of the lab's event loop delay was " + p99 / 1000.0
                        + " ms, above the limit of " + MAX_LOOP_DELAY_P99_US / 1000.0
                : null;
    }

    /** Returns the first reason for which a run failed, or null if it did not fail. */
    private static String failure(
            List<Violation> violations,
            Map<String, Integer> violationCounts,
            Map<String, Double> metrics,
            List<InvariantResult> invariants) {
        if (!violations.isEmpty()) {
            Violation first = violations.get(0);
            return "rule " + first.rule() + ", " + violationCounts.get(first.rule()) + " times, wanted 0; first: "
                    + first.description();
        }
        if (metrics.get("crashes") > 0) {
            return "crashes, " + metrics.get("crashes").intValue() + ", wanted 0";
        }
        return invariants.stream()
                .filter(invariant -> !invariant.holds)
                .findFirst()
                .map(InvariantResult::failure)
                .orElse(null);
    }

    private static double round(double value) {
        return Math.round(value * 1e5) / 1e5;
    }

    /** Returns the verdict line: the verdict, followed by the reason unless it is PASS. */
    public String line() {
        return verdict.equals(PASS) ? PASS : verdict + ": " + reason;
    }

    /** Returns the exit code of the lab for the verdict. */
    public int exitCode() {
        return switch (verdict) {
            case PASS -> 0;
            case FAIL -> 1;
            default -> 3;
        };
    }

    /** Writes the result to the folder of its run. */
    public void write(Path folder) throws IOException {
        Files.writeString(
                folder.resolve(FILE), JSON.writerWithDefaultPrettyPrinter().writeValueAsString(this) + "\n");
    }

    /** Reads the result from the folder of a run. */
    public static RunResult read(Path folder) throws IOException {
        return JSON.readValue(folder.resolve(FILE).toFile(), RunResult.class);
    }

    /** Verifies a stored run again and returns the new result; the stored one remains unchanged. */
    public static RunResult reverify(Path folder) throws IOException, InvalidScenarioException {
        RunResult stored = read(folder);
        Path scenarioFile = folder.resolve(SCENARIO_FILE);
        Scenario scenario = ScenarioReader.read(scenarioFile.toString(), Files.readString(scenarioFile));
        Records records = Records.read(folder.resolve(RECORDS_FILE));
        boolean failedToStart = stored.reason.startsWith("start:");
        boolean voidWithoutLoopDelay = stored.verdict.equals(VOID) && records.loopDelays.isEmpty();
        return of(
                scenario,
                records,
                new RunContext(
                        stored.seed,
                        stored.version,
                        stored.startedAt,
                        stored.machine,
                        failedToStart ? stored.reason : null,
                        voidWithoutLoopDelay ? stored.reason : null));
    }
}
