package gorsestack.lab.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.lab.net.Addresses;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.scenario.Scenario.Rules;
import gorsestack.lab.standin.Testbed;

/** Creates the content of the balancers' configuration files. Used by {@link BalancerFleet} on the thread that manages the processes. */
final class BalancerConfig {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MS_PER_SECOND = 1e3;

    /**
     * The position of a balancer: the tier that it calls, the first balancer that calls this tier, and the number of balancers that do. The
     * fleet calls tier 0, and the sidecars of the upstreams of a tier call the next one.
     */
    private record Position(int tier, int first, int count) {
        static Position of(int balancer, Scenario scenario) {
            int tier = 0;
            int first = 0;
            int count = scenario.fleet().balancers();
            while (balancer >= first + count) {
                first += count;
                count = scenario.tiers().get(tier).upstreams();
                tier++;
            }
            return new Position(tier, first, count);
        }
    }

    private final Testbed testbed;
    private final Scenario scenario;
    private final Addresses addresses;
    /** The number of configurations created so far. It makes the seed of each one different. */
    private int configurations;

    BalancerConfig(Testbed testbed) {
        this.testbed = testbed;
        scenario = testbed.scenario;
        addresses = testbed.addresses;
    }

    /** Creates a configuration with the endpoint list that the balancer starts with. Each configuration has a different random seed. */
    ObjectNode create(BalancerProcess process, ObjectNode endpointList, int discoveryGeneration) {
        int balancer = process.number;
        Position position = Position.of(balancer, scenario);
        long seed = 0x9e3779b97f4a7c15L * (balancer + 1) + 31L * configurations++;
        ObjectNode config = JSON.createObjectNode()
                .put("name", "n" + balancer)
                .put("listen", Addresses.format(addresses.balancer(balancer)))
                .put("discovery", Addresses.format(addresses.discovery(balancer, discoveryGeneration)))
                .put("seed", String.format("%016x", seed));
        if (scenario.fleet().management()) {
            config.put("mgmt", Addresses.format(addresses.management(balancer)));
        }
        if (scenario.fleet().state()) {
            config.put("state", process.stateFolder().toString());
        }
        config.putObject("limits")
                .put("cores", scenario.fleet().cores())
                .put("memory_mb", scenario.fleet().memoryMb())
                .put("sockets", scenario.fleet().sockets());
        config.set("known", endpointList);
        if (scenario.fleet().peers() && position.tier == 0) {
            addPeers(config.putArray("peers"), balancer, position.count);
        }
        addSettings(config.putObject("settings"), balancer, position);
        return config;
    }

    private void addPeers(ArrayNode peers, int balancer, int count) {
        for (int peer = 0; peer < count; peer++) {
            peers.add(Addresses.format(
                    peer == balancer ? addresses.datagrams(balancer) : addresses.relay(balancer, peer)));
        }
    }

    private void addSettings(ObjectNode settings, int balancer, Position position) {
        int replica = balancer - position.first;
        settings.put("az", testbed.zone(replica))
                .put("tier", position.tier)
                .put("me", replica)
                .put("replicasOfMe", position.count)
                .put("step", 5.0)
                .put("membershipMode", "subscribe")
                .put("weightSource", "none")
                .put("billedValueBy", "request");
        scenario.zones().forEach(settings.putArray("zones")::add);
        ArrayNode tiers = settings.putArray("tiers");
        scenario.tiers().forEach(tier -> tiers.add(tier.name()));
        addLimits(settings.putObject("limits"));
        addRules(settings.putObject("rules"));
        ArrayNode products = settings.putArray("products");
        scenario.products().forEach(product -> addProduct(products.addObject(), product));
    }

    private void addLimits(ObjectNode limits) {
        Rules rules = scenario.rules();
        limits.put("connIdle", rules.idleMs())
                .put("connectTimeout", rules.connectTimeoutMs())
                .put("mayCancel", rules.mayCancel())
                .put("mostShots", rules.maxAttempts())
                .put("secondCopies", rules.hedging())
                .put("retryAfter", rules.retryAfter())
                .put("maxRetryAfter", 1500.0)
                .put("peers", scenario.fleet().peers());
    }

    private void addRules(ObjectNode node) {
        Rules rules = scenario.rules();
        node.put("askWithin", rules.maxPollInterval() * MS_PER_SECOND)
                .put("cold", rules.slowStartPeriod() * MS_PER_SECOND)
                .put("coldShare", rules.initialCapacity())
                .put("drainGrace", rules.drainGrace() * MS_PER_SECOND)
                .put("fall", rules.overloadWindow() * MS_PER_SECOND)
                .put("fallMultiple", rules.overloadFactor());
    }

    private static void addProduct(ObjectNode node, Product product) {
        node.put("name", product.name())
                .put("semantics", product.semantics())
                .put("keyScope", product.keyScope())
                .put("repeatWindow", product.repeatWindow() * MS_PER_SECOND)
                .put("clientTimeout", product.timeoutMs())
                .put("latencySlo", product.sloMs())
                .put("billedValue", product.value())
                .put("lateBilledValue", product.lateValue());
    }
}
