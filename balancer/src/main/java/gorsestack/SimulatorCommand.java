package gorsestack;

import gorsestack.simulator.SimulatorHost;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Hosts balancers for the simulator, which exchanges batches of JSON over standard input and output; on the main thread. */
@Command(
        name = "simhost",
        mixinStandardHelpOptions = true,
        description = "Hosts balancers on the simulator's wire: standard input in, standard output out.")
final class SimulatorCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        return new SimulatorHost(System.in, System.out, System.err).run();
    }
}
