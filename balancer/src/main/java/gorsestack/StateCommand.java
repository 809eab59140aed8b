package gorsestack;

import gorsestack.cli.StateReport;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Groups the subcommands that inspect the state that a balancer has persisted; on the main thread. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Looks at what a balancer has kept.",
        subcommands = StateCommand.Show.class)
final class StateCommand implements Callable<Integer> {
    /** Prints the usage; called when no subcommand is given. */
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Prints a persisted state file. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows a state file; exit code 1 where it is not whole, 2 where there is none.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "as FOLDER/gorsestack-NAME.state, or .state.old")
        private Path file;

        @Option(names = "--json", description = "one JSON object, times in nanoseconds from 1970")
        private boolean json;

        @Override
        public Integer call() {
            return StateReport.show(file, json, System.out, System.err);
        }
    }
}
