package gorsestack.serve;

import gorsestack.memory.Calls;
import gorsestack.memory.Owner;
import gorsestack.wire.Clock;
import gorsestack.wire.Discovery;
import gorsestack.wire.Network;
import gorsestack.wire.Ports;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One real balancer: starts it, and ends it at SIGTERM. */
public final class Service {
    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final Configuration configuration;
    private final Owner owner = new Owner();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Network network;
    private Calls calls;

    private Service(Configuration configuration) {
        this.configuration = configuration;
        network = new Network(configuration.limits(), owner);
    }

    /** Starts a balancer; it runs on when this returns. */
    public static void start(Path file) throws IOException {
        Service service = new Service(Configuration.read(file, System.getenv()));
        service.start();
    }

    private void start() throws IOException {
        Limits limits = configuration.limits();
        Ports ports = new Ports(network, limits);
        calls = new Calls(owner, limits, configuration.settings(), configuration.seed(), ports,
                listener -> new Discovery(network, limits, configuration.discovery(), configuration.known().index(),
                        listener));
        owner.execute(() -> calls.news(configuration.known()));
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end"));
        ports.listen(configuration.listen(), calls);
        owner.execute(calls::open);
        LOG.log(System.Logger.Level.INFO, "{0} listens on {1}", configuration.name(), configuration.listen());
    }

    /** SIGTERM: goes on accepting for a while, answers what it holds, closes between calls, and ends in time. */
    private void end() {
        Limits limits = configuration.limits();
        owner.execute(calls::end);
        owner.at(Clock.now() + limits.acceptAfterTerm(), () -> {
            network.stopAccepting();
            calls.closeIdle(ended::countDown);
        });
        try {
            ended.await(limits.endAfterTerm(), TimeUnit.NANOSECONDS);
            Thread.sleep(20); // what was answered last is still on its way out
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
