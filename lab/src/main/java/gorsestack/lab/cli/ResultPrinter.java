package gorsestack.lab.cli;

import gorsestack.lab.report.HtmlReport;
import gorsestack.lab.report.RunResult;
import gorsestack.lab.report.RunResult.InvariantResult;
import java.nio.file.Path;
import java.util.Map;

/** Prints the result of a run on standard output, for the run and report commands. */
final class ResultPrinter {
    private ResultPrinter() {}

    static void print(RunResult result, Path folder) {
        Map<String, Double> metrics = result.metrics();
        System.out.printf(
                "%s seed %d: served %.4f, worst second %.4f, rate-limited %.4f, errored %.4f, lost %d, full service after %.1f s, "
                        + "%.3f attempts a call, p99 %.0f ms, most list calls %d/s, new connections %d/s%n",
                result.scenario(),
                result.seed(),
                metrics.get("served"),
                metrics.get("served_worst_second"),
                metrics.get("rate_limited"),
                metrics.get("errored"),
                metrics.get("lost").intValue(),
                metrics.get("time_to_full_s"),
                metrics.get("attempts_per_call"),
                metrics.get("p99_ms"),
                metrics.get("peak_list_calls").intValue(),
                metrics.get("peak_connections").intValue());
        for (InvariantResult invariant : result.invariants()) {
            System.out.printf(
                    "  %-28s %-7s %10.4f  %s%s%n",
                    invariant.metric(),
                    invariant.period(),
                    invariant.actual(),
                    invariant.expected(),
                    invariant.holds() ? "" : "  NOT HELD");
        }
        result.firstViolations().forEach(violation -> System.out.println("  broken: " + violation));
        System.out.println("  " + folder.resolve(HtmlReport.FILE) + "  " + result.verdict());
    }
}
