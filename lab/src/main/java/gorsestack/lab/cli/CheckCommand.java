package gorsestack.lab.cli;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Validates a scenario without running it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates a scenario; the exit code is 2 if it is invalid.")
public final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO")
    private String scenarioName;

    @Override
    public Integer call() throws Exception {
        Scenario scenario = ScenarioReader.read(scenarioName, BuiltInScenarios.text(scenarioName));
        System.out.println(scenarioName + ": good, " + scenario.processes() + " processes, "
                + scenario.faults().size() + " faults, " + scenario.invariants().size() + " invariants");
        return 0;
    }
}
