package gorsestack.server;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointUpdate;
import gorsestack.decision.Settings;
import gorsestack.settings.Limits;
import gorsestack.settings.SettingsCheck;
import gorsestack.settings.SettingsReader;
import gorsestack.wire.WatchEvent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Holds the configuration of one balancer, which {@link ConfigurationReloader} reads from the file and the environment. Immutable.
 *
 * @param name the balancer's name in logs and messages
 * @param listen the address that clients connect to
 * @param mgmt the address of the admin listener; null if there is none
 * @param discovery the address of service discovery
 * @param seed the seed of the random numbers; taken from the clock if the file has none
 * @param limits sizes, counts and times
 * @param known the endpoint list in the file, which is used until the first update from discovery is received, unless a persisted
 *     list is restored
 * @param peers the addresses of all balancers, ordered by instance index; empty if balancers exchange no messages
 * @param settings the policy's settings
 * @param state the folder where state is persisted for the next process; null if state is not persisted
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        InetSocketAddress mgmt,
        InetSocketAddress discovery,
        long seed,
        Limits limits,
        WatchEvent known,
        List<InetSocketAddress> peers,
        Settings settings,
        Path state) {

    /**
     * Reads a configuration.
     *
     * @param environment the environment variables, some of which override keys of the file
     * @throws IOException if the file cannot be read or is invalid; the message names the invalid field
     */
    static Configuration read(Path file, Map<String, String> environment) throws IOException {
        JsonNode root = new ObjectMapper().readTree(file.toFile());
        if (root == null || !root.isObject()) {
            throw new IOException("the configuration must be an object");
        }
        SettingsCheck.check(root.path("limits"), root.path("settings"));
        Settings settings = SettingsReader.read(root.path("settings"));
        WatchEvent known = root.path("known").isObject()
                ? WatchEvent.read(root.path("known"), EndpointUpdate.Kind.CACHED)
                : new WatchEvent(0, new EndpointUpdate(EndpointUpdate.Kind.CACHED, List.of()), Map.of());
        return new Configuration(
                value(root, environment, "name"),
                address(value(root, environment, "listen"), "listen"),
                value(root, environment, "mgmt").isEmpty() && !root.path("mgmt").isContainerNode()
                        ? null
                        : address(value(root, environment, "mgmt"), "mgmt"),
                address(value(root, environment, "discovery"), "discovery"),
                seed(root.path("seed").asText("")),
                Limits.of(root.path("limits"), root.path("settings")),
                known,
                peers(root.path("peers"), settings),
                settings,
                state(root.path("state")));
    }

    /**
     * Reads the file again after SIGHUP. This time, the discovery address in the file overrides the one in the environment, which cannot
     * change while the process runs.
     */
    static Configuration reread(Path file, Map<String, String> environment) throws IOException {
        Map<String, String> overrides = new HashMap<>(environment);
        overrides.remove("ROUTER_DISCOVERY");
        return read(file, overrides);
    }

    /**
     * Returns whether the other configuration differs at most in the discovery address, which a reload applies, and in the seed and the
     * known endpoints, which only a start uses.
     */
    boolean differsOnlyInDiscovery(Configuration other) {
        return name.equals(other.name)
                && listen.equals(other.listen)
                && Objects.equals(mgmt, other.mgmt)
                && limits.equals(other.limits)
                && peers.equals(other.peers)
                && settings.equals(other.settings)
                && Objects.equals(state, other.state);
    }

    /** Returns the balancers' addresses by instance index; empty if none are given or the settings forbid peer messages. */
    private static List<InetSocketAddress> peers(JsonNode node, Settings settings) throws IOException {
        List<InetSocketAddress> peers = new ArrayList<>();
        for (JsonNode peer : node) {
            peers.add(address(peer.asText(""), "peers"));
        }
        if (!peers.isEmpty()
                && (peers.size() != settings.instances() || Set.copyOf(peers).size() < peers.size())) {
            throw new IOException("peers must be one address for each of replicasOfMe, " + settings.instances()
                    + ", not " + peers.size());
        }
        return settings.limits().peerMessagesAllowed() ? peers : List.of();
    }

    /** Returns the folder for persisted state, or null if the key is absent. */
    private static Path state(JsonNode node) throws IOException {
        if (!node.isMissingNode() && (!node.isTextual() || node.asText().isEmpty())) {
            throw new IOException("state must name a folder, not " + node);
        }
        try {
            return node.isMissingNode() ? null : Path.of(node.asText());
        } catch (InvalidPathException e) {
            throw new IOException("state must name a folder, not " + node);
        }
    }

    private static String value(JsonNode root, Map<String, String> environment, String key) {
        return environment.getOrDefault(
                "ROUTER_" + key.toUpperCase(Locale.ROOT), root.path(key).asText(""));
    }

    private static InetSocketAddress address(String text, String key) throws IOException {
        InetSocketAddress address = WatchEvent.address(text);
        if (address == null) {
            throw new IOException(key + " must be an address and a port, not \"" + text + "\"");
        }
        return address;
    }

    private static long seed(String hex) throws IOException {
        try {
            return hex.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IOException("seed must be up to 16 hex digits, not \"" + hex + "\"");
        }
    }
}
