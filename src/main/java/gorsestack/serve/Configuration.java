package gorsestack.serve;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.Settings;
import gorsestack.decision.Upstreams;
import gorsestack.simhost.SettingsReader;
import gorsestack.wire.Catalog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What the operators tell a balancer at its start. */
record Configuration(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, Limits limits,
        Catalog known, Settings settings) {

    /** The file holds all; the environment's three variables go before it. */
    static Configuration read(Path file, Map<String, String> environment) throws IOException {
        JsonNode all = new ObjectMapper().readTree(file.toFile());
        if (all == null || !all.isObject()) {
            throw new IOException("the configuration must be an object");
        }
        Settings settings = SettingsReader.read(all.path("settings"));
        if (settings.products().isEmpty()) {
            throw new IOException("settings: no products");
        }
        Catalog known = all.path("known").isObject() ? Catalog.read(all.path("known"), Upstreams.Form.CACHED)
                : new Catalog(0, new Upstreams(Upstreams.Form.CACHED, List.of()), Map.of());
        return new Configuration(told(all, environment, "name"),
                address(told(all, environment, "listen"), "listen"),
                address(told(all, environment, "discovery"), "discovery"),
                seed(all.path("seed").asText("")), Limits.of(all.path("limits"), all.path("settings")), known,
                settings);
    }

    /** The file once more, after SIGHUP: now its discovery goes before the environment's, which is of the start. */
    static Configuration reread(Path file, Map<String, String> environment) throws IOException {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("ROUTER_DISCOVERY");
        return read(file, others);
    }

    /** Whether only what can change under load differs. The seed and the list known are of a start, and may. */
    boolean sameButDiscovery(Configuration other) {
        return name.equals(other.name) && listen.equals(other.listen) && limits.equals(other.limits)
                && settings.equals(other.settings);
    }

    private static String told(JsonNode all, Map<String, String> environment, String key) {
        return environment.getOrDefault("ROUTER_" + key.toUpperCase(Locale.ROOT), all.path(key).asText(""));
    }

    private static InetSocketAddress address(String text, String key) throws IOException {
        InetSocketAddress address = Catalog.address(text);
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
