package gorsestack.settings;

import com.fasterxml.jackson.databind.JsonNode;
import gorsestack.decision.Settings;
import gorsestack.decision.Settings.Limits;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Reports;
import gorsestack.decision.Settings.Rules;
import gorsestack.decision.Settings.Scope;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the policy's settings from JSON, for the server and for the simulator. Unknown keys are ignored. Stateless and thread-safe.
 */
public final class SettingsReader {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int UNLIMITED_ATTEMPTS = Integer.MAX_VALUE;

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @throws InvalidSettingsException if there is no settings object, or a product lacks its name or client timeout
     */
    public static Settings read(JsonNode root) throws InvalidSettingsException {
        if (root == null || !root.isObject()) {
            throw new InvalidSettingsException("settings", "settings: must be an object");
        }
        List<Product> products = new ArrayList<>();
        for (JsonNode product : root.path("products")) {
            products.add(product(product));
        }
        JsonNode limits = root.path("limits");
        JsonNode rules = root.path("rules");
        return new Settings(
                root.path("me").asInt(0),
                root.path("replicasOfMe").asInt(1),
                root.path("tier").asInt(0),
                root.path("az").asText(""),
                strings(root.path("zones")),
                products,
                new Limits(
                        attempts(limits),
                        limits.path("mayCancel").asBoolean(false),
                        limits.path("secondCopies").asBoolean(false),
                        limits.path("retryAfter").asBoolean(false),
                        nanos(limits, "maxRetryAfter", 0),
                        limits.path("peers").asBoolean(false)),
                new Rules(
                        nanos(rules, "askWithin", 0),
                        nanos(rules, "cold", 0),
                        rules.path("coldShare").asDouble(1),
                        rules.path("fallMultiple").asDouble(1),
                        nanos(rules, "fall", 1_000)),
                root.path("membershipMode").asText("").equals("subscribe"),
                root.path("weightSource").asText("").equals("nominal"),
                reports(root.path("reporting")),
                root.path("billedValueBy").asText("").equals("work"),
                root.path("blend").path("worstClass").asDouble(0),
                nanos(root, "step", 1));
    }

    /** Returns the load reports that responses carry; none if upstreams report only to probes, as this program sends no probes. */
    private static Reports reports(JsonNode node) {
        List<String> columns = strings(node.path("columns"));
        return !node.path("source").asText("").equals("answers")
                ? Reports.NONE
                : new Reports(columns, columns.indexOf("active"), columns.indexOf("rps"));
    }

    private static List<String> strings(JsonNode node) {
        List<String> strings = new ArrayList<>();
        for (JsonNode text : node) {
            strings.add(text.asText());
        }
        return strings;
    }

    private static int attempts(JsonNode limits) {
        int maxAttempts = limits.path("mostShots").asInt(0);
        return maxAttempts > 0 ? maxAttempts : UNLIMITED_ATTEMPTS;
    }

    private static Product product(JsonNode node) throws InvalidSettingsException {
        String name = node.path("name").asText("");
        if (name.isEmpty()) {
            throw new InvalidSettingsException("settings.products.name", "settings: a product has no name");
        }
        long timeout = nanos(node, "clientTimeout", 0);
        if (timeout <= 0) {
            throw new InvalidSettingsException(
                    "settings.products.clientTimeout", "settings: product " + name + " lacks clientTimeout");
        }
        // Unknown values are treated as the strictest ones.
        Repeat repeat = switch (node.path("semantics").asText("")) {
            case "free" -> Repeat.IDEMPOTENT;
            case "guarded" -> Repeat.DEDUPLICATED;
            default -> Repeat.NON_IDEMPOTENT;
        };
        Scope scope = switch (node.path("keyScope").asText("")) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            default -> Scope.CELL;
        };
        return new Product(
                name,
                repeat,
                scope,
                nanos(node, "repeatWindow", 0),
                Math.min(timeout, nanos(node, "latencySlo", timeout / NANOS_PER_MILLI)),
                timeout,
                node.path("billedValue").asDouble(1),
                node.path("lateBilledValue").asDouble(1));
    }

    private static long nanos(JsonNode node, String key, double defaultMillis) {
        return Math.round(node.path(key).asDouble(defaultMillis) * NANOS_PER_MILLI);
    }
}
