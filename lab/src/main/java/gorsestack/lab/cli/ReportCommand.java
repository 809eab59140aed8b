package gorsestack.lab.cli;

import gorsestack.lab.report.Charts;
import gorsestack.lab.report.HtmlReport;
import gorsestack.lab.report.RunComparison;
import gorsestack.lab.report.RunResult;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.verify.Records;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Verifies stored runs again and overwrites their results and reports. Verdict and exit code are those of the worst run. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Verifies stored runs again from their records, and overwrites result.json and report.html.")
public final class ReportCommand implements Callable<Integer> {
    private static final int PASSED = 0;
    private static final int FAILED = 1;

    @Parameters(paramLabel = "DIR", arity = "1..*", description = "the folder of a run, or a folder that contains runs")
    private List<Path> folders;

    @Option(
            names = "--chart",
            paramLabel = "FILE",
            description = "also writes the served fractions of all runs as one SVG chart")
    private Path chart;

    @Override
    public Integer call() throws Exception {
        List<Path> runs = new ArrayList<>();
        for (Path folder : folders) {
            runs.addAll(RunComparison.runs(folder));
        }
        RunResult worst = null;
        for (Path run : runs) {
            RunResult result = RunResult.reverify(run);
            result.write(run);
            HtmlReport.write(
                    run,
                    ScenarioReader.read(run.toString(), Files.readString(run.resolve(RunResult.SCENARIO_FILE))),
                    Records.read(run.resolve(RunResult.RECORDS_FILE)),
                    result);
            ResultPrinter.print(result, run);
            if (worst == null || worst.exitCode() == PASSED || result.exitCode() == FAILED) {
                worst = result;
            }
        }
        if (chart != null) {
            Charts.writeServedChart(runs, chart);
        }
        System.out.println(worst.line());
        return worst.exitCode();
    }
}
