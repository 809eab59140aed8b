package gorsestack;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.Properties;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The entry point of the program and the root of its command line; each subcommand is a separate class. Runs on the main thread.
 */
@Command(
        name = "gorsestack",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "A load balancer for services that call services.",
        subcommands = {ServeCommand.class, SimulatorCommand.class, StateCommand.class, StatusCommand.class})
public final class Main implements Callable<Integer> {

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] args) throws InterruptedException {
        String config = System.getenv("ROUTER_CONFIG");
        if (args.length == 1 && args[0].equals("serve") && config != null) {
            // Bypasses picocli, whose annotation processing occupies a core for a sixth of a second at each restart.
            System.exit(new ServeCommand().run(Path.of(config)));
        }
        System.exit(new CommandLine(new Main()).execute(args));
    }

    /** Prints the usage; called when no subcommand is given. */
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Provides the version that the build writes into a resource; it is read only for {@code --version}. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() throws IOException {
            Properties properties = new Properties();
            try (InputStream in = Main.class.getResourceAsStream("version.properties")) {
                properties.load(in);
            }
            return new String[] {"gorsestack " + properties.getProperty("version")};
        }
    }
}
