package gorsestack.lab.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Stand-ins for the front proxies, one in each zone. A front proxy checks the health of the zone's balancers and distributes the calls of
 * {@link LoadGenerator} over those in rotation, in round-robin order. Confined to the event loop.
 */
final class FrontProxies implements AutoCloseable {
    private static final String HEALTH_PATH = "/_health";
    private static final long HEALTH_TIMEOUT_NANOS = 1_000_000_000L;

    /** A balancer as seen by the front proxy of its zone. */
    final class Backend {
        final int balancer;
        final BalancerClient callClient;
        private final String zone;
        private final BalancerClient healthCheckClient;
        /** Whether the balancer gets calls. */
        private boolean inRotation;

        /** Whether the last health check succeeded. */
        private boolean ready;

        /** When a health check succeeded last. */
        private long lastHealthyAt;

        Backend(int balancer) {
            this.balancer = balancer;
            zone = testbed.zone(balancer);
            healthCheckClient = new BalancerClient(testbed, "front-" + zone, balancer);
            callClient = new BalancerClient(testbed, "clients-" + zone, balancer);
            testbed.onClockShift(setBack -> lastHealthyAt -= setBack);
        }

        private void close() {
            healthCheckClient.close();
            callClient.close();
        }
    }

    private final Testbed testbed;
    private final IntConsumer onReady;
    private final List<Backend> fleet = new ArrayList<>();
    /** The sidecars of upstreams. They get no calls from clients, but have to be ready before the load starts. */
    private final List<Backend> sidecars = new ArrayList<>();

    /** The number of times that a balancer has been chosen, by zone. */
    private final Map<String, Integer> choicesByZone = new HashMap<>();

    private boolean closed;

    /** Starts the health checks. The callback runs whenever a balancer becomes ready. */
    FrontProxies(Testbed testbed, IntConsumer onReady) {
        this.testbed = testbed;
        this.onReady = onReady;
        int fleetSize = testbed.scenario.fleet().balancers();
        for (int balancer = 0; balancer < testbed.scenario.processes(); balancer++) {
            (balancer < fleetSize ? fleet : sidecars).add(new Backend(balancer));
        }
        fleet.forEach(this::checkHealth);
        sidecars.forEach(this::checkHealth);
    }

    private void checkHealth(Backend backend) {
        if (closed) {
            return;
        }
        long startedAt = testbed.now();
        long interval = (long) (testbed.scenario.fleet().healthInterval() * 1e9);
        backend.healthCheckClient.call(
                HttpMessages.get(HEALTH_PATH), "health", startedAt + HEALTH_TIMEOUT_NANOS, response -> {
                    update(backend, response);
                    testbed.at(startedAt + interval, () -> checkHealth(backend));
                });
    }

    /**
     * Applies the result of a health check. A balancer that responds with 503 is removed from the rotation immediately. A balancer whose
     * health checks fail in another way is removed when none has succeeded for the dead timeout.
     */
    private void update(Backend backend, BalancerClient.Response response) {
        boolean healthy = response.outcome().equals("200");
        if (healthy && !backend.ready) {
            onReady.accept(backend.balancer);
        }
        backend.ready = healthy;
        if (healthy) {
            backend.lastHealthyAt = testbed.now();
            backend.inRotation = true;
        } else if (response.outcome().equals("503") || deadTimeoutExceeded(backend)) {
            backend.inRotation = false;
        }
    }

    private boolean deadTimeoutExceeded(Backend backend) {
        return testbed.now() - backend.lastHealthyAt > testbed.scenario.fleet().deadTimeout() * 1e9;
    }

    /** Returns the number of balancers, including sidecars, whose last health check succeeded. */
    int ready() {
        return (int) (fleet.stream().filter(backend -> backend.ready).count()
                + sidecars.stream().filter(backend -> backend.ready).count());
    }

    /** Returns the next balancer in the rotation of a zone; null if none is in rotation. */
    Backend choose(String zone) {
        List<Backend> candidates = fleet.stream()
                .filter(backend -> backend.inRotation && backend.zone.equals(zone))
                .toList();
        return candidates.isEmpty()
                ? null
                : candidates.get(choicesByZone.merge(zone, 1, Integer::sum) % candidates.size());
    }

    /** Ends the health checks and closes idle connections, so that balancers do not wait for these connections when they drain. */
    @Override
    public void close() {
        closed = true;
        fleet.forEach(Backend::close);
        sidecars.forEach(Backend::close);
    }
}
