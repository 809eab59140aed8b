package gorsestack.lab.cli;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Lists the built-in scenarios with their size, duration and purpose. */
@Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the built-in scenarios.")
public final class ListCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        for (String name : BuiltInScenarios.NAMES) {
            Scenario scenario = ScenarioReader.read(name, BuiltInScenarios.text(name));
            System.out.printf(
                    "%-14s %3d processes %4.0f s  %s%n",
                    name, scenario.processes(), scenario.seconds(), scenario.about());
        }
        return 0;
    }
}
