package gorsestack.lab;

import gorsestack.lab.cli.CheckCommand;
import gorsestack.lab.cli.CompareCommand;
import gorsestack.lab.cli.LabVersion;
import gorsestack.lab.cli.ListCommand;
import gorsestack.lab.cli.ReportCommand;
import gorsestack.lab.cli.RunCommand;
import gorsestack.lab.cli.SoakCommand;
import gorsestack.lab.scenario.InvalidScenarioException;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of the lab: parses the arguments and executes one command on the main thread. */
@Command(
        name = "gorsestack-lab",
        mixinStandardHelpOptions = true,
        versionProvider = LabVersion.class,
        description = "Runs many balancer processes against stand-ins for their environment and injects faults.",
        subcommands = {
            RunCommand.class,
            ListCommand.class,
            CheckCommand.class,
            ReportCommand.class,
            CompareCommand.class,
            SoakCommand.class
        })
public final class Main implements Callable<Integer> {
    private static final int INVALID_INPUT = 2;

    /** Executes a command and exits the process with the exit code of the command. */
    public static void main(String[] args) {
        System.setProperty("java.awt.headless", "true");
        System.exit(run(args));
    }

    /** Executes a command and returns its exit code. Invalid input is reported on standard error in one line. */
    public static int run(String... args) {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((exception, commandLine, parsed) -> {
                    if (exception instanceof InvalidScenarioException || exception instanceof IOException) {
                        System.err.println("gorsestack-lab: " + firstLine(exception));
                        return INVALID_INPUT;
                    }
                    throw exception;
                })
                .execute(args);
    }

    private static String firstLine(Exception exception) {
        String message = String.valueOf(exception.getMessage());
        return (exception instanceof NoSuchFileException ? "no such file: " : "")
                + message.lines().findFirst().orElse("");
    }

    /** Prints the usage, because no command was given. */
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return INVALID_INPUT;
    }
}
