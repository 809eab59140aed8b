package gorsestack;

import gorsestack.server.BalancerServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one balancer; the command line calls it on the main thread. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one balancer on sockets until it is told to end.")
final class ServeCommand implements Callable<Integer> {
    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n";

    @Option(
            names = "--config",
            defaultValue = "${env:ROUTER_CONFIG}",
            paramLabel = "FILE",
            required = true,
            description = "the balancer's configuration; by default what ROUTER_CONFIG names")
    private Path config;

    @Option(names = "--check", description = "reads the configuration, starts until ready, and ends")
    private boolean check;

    @Override
    public Integer call() throws InterruptedException {
        return run(config);
    }

    /**
     * Starts a balancer and then blocks. Returns only if the start fails or {@code --check} is given.
     *
     * @param file the balancer's configuration
     * @return the exit code: 0 after a successful check, 2 if the start fails
     */
    int run(Path file) throws InterruptedException {
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
        try {
            BalancerServer.start(file);
        } catch (IOException e) {
            System.err.println("gorsestack: " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
            return CommandLine.ExitCode.USAGE;
        }
        if (check) {
            System.out.println("gorsestack: " + file + ": good");
            return CommandLine.ExitCode.OK;
        }
        Thread.currentThread().join();
        return CommandLine.ExitCode.OK;
    }
}
