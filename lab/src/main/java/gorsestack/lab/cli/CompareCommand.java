package gorsestack.lab.cli;

import gorsestack.lab.report.RunComparison;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Compares two runs or two folders of runs. */
@Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two runs, or two folders of runs.")
public final class CompareCommand implements Callable<Integer> {
    @Parameters(paramLabel = "A")
    private Path left;

    @Parameters(paramLabel = "B")
    private Path right;

    @Option(
            names = "--all",
            description = "shows all metrics, not only those whose ranges over the seeds do not overlap")
    private boolean allMetrics;

    @Override
    public Integer call() throws Exception {
        System.out.println(RunComparison.table(left, right, allMetrics));
        return 0;
    }
}
