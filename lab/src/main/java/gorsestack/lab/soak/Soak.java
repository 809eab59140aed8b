package gorsestack.lab.soak;

import gorsestack.lab.report.RunResult;
import gorsestack.lab.run.ScenarioRun;
import gorsestack.lab.scenario.InvalidScenarioException;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.shim.Shim;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs random schedules of overlapping disturbances against real balancer processes, for the soak command. A schedule that fails is shrunk
 * by removing disturbances as long as it still fails. All runs take place on the calling thread, one after the other.
 */
public final class Soak {
    /**
     * The settings of a soak.
     *
     * @param root root of the repository
     * @param command command that starts a balancer in the root
     * @param output folder for the runs
     * @param recoverySeconds time after the last disturbance of a run
     * @param shrink whether schedules that fail are shrunk
     */
    public record Plan(
            Path root,
            String command,
            String version,
            Path output,
            int balancers,
            double recoverySeconds,
            boolean shrink,
            PrintStream progress) {}

    /** The result of a schedule. It is inconclusive if the run has the verdict VOID. */
    public record Outcome(
            Schedule schedule, boolean failed, boolean inconclusive, List<String> findings, Path folder) {}

    private static final int MAX_LISTED_VIOLATIONS = 5;

    private final Plan plan;
    private final Shim shim;

    /** Prepares a soak, and compiles the shim if there is a C compiler. */
    public Soak(Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        shim = Shim.build(plan.output.resolve("shim"));
        if (shim == null) {
            plan.progress.println("no C compiler: no faults of wall clocks and system calls are injected");
        }
    }

    /**
     * Runs the schedule of a seed, and shrinks the schedule if it fails. Returns the outcome of the smallest schedule that has failed, or
     * of the whole schedule if it passes or the plan excludes shrinking.
     */
    public Outcome run(long seed) throws IOException, InterruptedException, InvalidScenarioException {
        Outcome outcome = run(Schedule.of(seed, plan.balancers, plan.recoverySeconds), "");
        return outcome.failed && plan.shrink ? shrink(outcome) : outcome;
    }

    private Outcome shrink(Outcome failing) throws IOException, InterruptedException, InvalidScenarioException {
        Outcome smallest = failing;
        int next = 0;
        while (next < smallest.schedule.disturbances().size()
                && smallest.schedule.disturbances().size() > 1) {
            Outcome reduced = run(smallest.schedule.without(next), "-less" + next);
            if (reduced.failed) {
                smallest = reduced;
                next = 0;
            } else {
                next++;
            }
        }
        return smallest;
    }

    private Outcome run(Schedule schedule, String folderSuffix)
            throws IOException, InterruptedException, InvalidScenarioException {
        Path folder = plan.output
                .resolve("seed-" + schedule.seed() + "-"
                        + schedule.disturbances().size() + folderSuffix)
                .toAbsolutePath();
        Oracle oracle = new Oracle();
        RunResult result =
                new ScenarioRun(runPlan(schedule, folder)).observedBy(oracle).run();
        oracle.checkLogs(folder);
        List<String> findings = new ArrayList<>(oracle.findings());
        if (result.verdict().equals(RunResult.FAIL)) {
            findings.add(result.line());
            result.firstViolations().stream().limit(MAX_LISTED_VIOLATIONS).forEach(findings::add);
        }
        Files.write(folder.resolve("oracle.txt"), findings);
        boolean inconclusive = result.verdict().equals(RunResult.VOID);
        Outcome outcome = new Outcome(schedule, !findings.isEmpty(), inconclusive, findings, folder);
        printProgress(outcome, result, oracle);
        return outcome;
    }

    private ScenarioRun.Plan runPlan(Schedule schedule, Path folder) throws InvalidScenarioException {
        String text = schedule.scenario();
        return new ScenarioRun.Plan(
                ScenarioReader.read("soak", text),
                text,
                schedule.seed(),
                plan.root,
                shim == null ? plan.command : shim.command(plan.command),
                null,
                plan.version,
                folder,
                new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8));
    }

    private void printProgress(Outcome outcome, RunResult result, Oracle oracle) {
        plan.progress.printf(
                "seed %d  %-6s %s%s%n",
                outcome.schedule.seed(),
                outcome.failed ? "FAIL" : outcome.inconclusive ? "VOID" : "pass",
                outcome.schedule.names(),
                outcome.inconclusive ? "  (" + result.reason() + ")" : "");
        outcome.findings.forEach(line -> plan.progress.println("    " + line));
        plan.progress.println("    " + oracle.counters());
    }
}
