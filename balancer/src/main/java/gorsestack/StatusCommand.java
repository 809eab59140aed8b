package gorsestack;

import gorsestack.cli.StatusReport;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the status of a running balancer, which it requests from the admin listener; on the main thread. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Asks a running balancer's operators' listener how it is."
                + " Exit code 0 where it is ready, 1 where it is not, 2 where it cannot be asked.")
final class StatusCommand implements Callable<Integer> {
    @Parameters(paramLabel = "ADDRESS:PORT", description = "its mgmt address")
    private String address;

    @Option(names = "--json", description = "as the balancer says it")
    private boolean json;

    @Override
    public Integer call() throws InterruptedException {
        return StatusReport.show(address, json, System.out, System.err);
    }
}
