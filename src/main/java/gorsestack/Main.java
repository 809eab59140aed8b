package gorsestack;

import gorsestack.simhost.SimHost;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line. */
@Command(name = "gorsestack", mixinStandardHelpOptions = true, version = "gorsestack 0.1.0",
        description = "A load balancer for services that call services.", subcommands = Main.Simhost.class)
public final class Main implements Callable<Integer> {

    public static void main(String[] args) {
        System.exit(new CommandLine(new Main()).execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    @Command(name = "simhost", mixinStandardHelpOptions = true,
            description = "Hosts balancers on the simulator's wire: standard input in, standard output out.")
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            return new SimHost(System.in, System.out, System.err).run();
        }
    }
}
