package gorsestack.lab.cli;

import gorsestack.lab.report.RunResult;
import gorsestack.lab.run.ScenarioRun;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a scenario once per seed. Verdict and exit code are those of the worst run, where FAIL is worse than VOID. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario once for each seed. The last line is the verdict:"
                + " PASS (exit code 0), FAIL (1) or VOID (3).")
public final class RunCommand implements Callable<Integer> {
    private static final int EXIT_PASS = 0;
    private static final int EXIT_FAIL = 1;

    @Parameters(paramLabel = "SCENARIO", description = "the name of a built-in scenario, or a file")
    private String scenarioName;

    @Option(
            names = "--seed",
            paramLabel = "N",
            split = ",",
            defaultValue = "1",
            description = "one or more seeds, for example 1,2,3; 1 by default")
    private List<Long> seeds;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "the folder for the results, with one subfolder per run; lab-results by default")
    private Path output = Path.of("lab-results");

    @Mixin
    private Deployment deployment;

    @Option(
            names = "--before",
            paramLabel = "DIR",
            description = "the root of another version, already built; every second balancer runs that version")
    private Path previousRoot;

    @Override
    public Integer call() throws Exception {
        String text = BuiltInScenarios.text(scenarioName);
        Scenario scenario = ScenarioReader.read(scenarioName, text);
        Path root = deployment.root();
        String command = deployment.command(root);
        Path previous = previousRoot == null ? null : previousRoot.toAbsolutePath();
        if (previous != null && !Deployment.deployedCommand(previous).equals(command)) {
            throw new IOException(previous + ": the run line of its deploy file differs from the command of this run");
        }
        RunResult worst = null;
        for (long seed : seeds) {
            Path folder = output.resolve(scenario.name() + "-" + seed).toAbsolutePath();
            clear(folder);
            RunResult result = new ScenarioRun(new ScenarioRun.Plan(
                            scenario, text, seed, root, command, previous, LabVersion.ofBalancer(), folder, System.err))
                    .run();
            ResultPrinter.print(result, folder);
            worst = worst == null ? result : worse(worst, result);
        }
        System.out.println(worst.line());
        return worst.exitCode();
    }

    /** Returns the worse of two results: of two failures or two void runs the earlier one, and of two passes the later one. */
    private static RunResult worse(RunResult earlier, RunResult later) {
        boolean replaced =
                earlier.exitCode() == EXIT_PASS || (later.exitCode() == EXIT_FAIL && earlier.exitCode() != EXIT_FAIL);
        return replaced ? later : earlier;
    }

    /**
     * Deletes a folder, with all its content, if it is empty or has a scenario file, which marks the folder of an earlier run. Fails for
     * any other folder, to protect files that are not the lab's.
     */
    private static void clear(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        boolean isRunFolder = Files.exists(folder.resolve(RunResult.SCENARIO_FILE));
        try (Stream<Path> paths = Files.walk(folder)) {
            List<Path> childrenFirst = paths.sorted(Comparator.reverseOrder()).toList();
            if (!isRunFolder && childrenFirst.size() > 1) {
                throw new IOException(folder + " exists and is not the folder of a run; specify another --out");
            }
            for (Path path : childrenFirst) {
                Files.delete(path);
            }
        }
    }
}
