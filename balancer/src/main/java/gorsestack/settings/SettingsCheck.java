package gorsestack.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Checks a configuration before a balancer starts with it or applies it at a reload. Prevents a missing or misspelled setting from being
 * replaced by a default, that is, by a value that is usual for one customer but wrong for another. Unknown keys are ignored, as newer
 * settings have more of them. Stateless and thread-safe.
 */
public final class SettingsCheck {
    private SettingsCheck() {}

    /**
     * Checks the configuration's limits and settings.
     *
     * @throws InvalidSettingsException if a field is missing, has the wrong type or conflicts with another; names the first such field
     */
    public static void check(JsonNode limits, JsonNode settings) throws InvalidSettingsException {
        if (!settings.isObject()) {
            throw invalid("settings", ": must be an object");
        }
        require(limits, "limits.", "sockets", n -> n.isInt() && n.asInt() >= 96, "a whole number of 96 or more");
        requireName(settings, "settings.", "az");
        requireNames(settings, "zones");
        requireIntFrom(settings, "settings.", "tier", 0);
        requireIntFrom(settings, "settings.", "replicasOfMe", 1);
        requirePositive(settings, "settings.", "step");
        requireOneOf(settings, "settings.", "membershipMode", "subscribe", "automatic");
        requireOneOf(settings, "settings.", "weightSource", "none", "nominal", "rough", "live");
        requireOneOf(settings, "settings.", "billedValueBy", "request", "work");
        JsonNode zones = settings.path("zones");
        if (!zones.isEmpty() && !contains(zones, settings.path("az").asText())) {
            throw invalid("settings.az", " must be one of settings.zones, not " + settings.path("az"));
        }
        checkLimits(settings.path("limits"));
        JsonNode rules = settings.path("rules");
        requirePositive(rules, "settings.rules.", "cold");
        requirePositive(rules, "settings.rules.", "fall");
        require(
                rules,
                "settings.rules.",
                "coldShare",
                n -> n.isNumber() && n.asDouble() > 0 && n.asDouble() <= 1,
                "above 0 and at most 1");
        requirePositive(rules, "settings.rules.", "fallMultiple");
        if (settings.path("membershipMode").asText().equals("subscribe")) {
            requirePositive(rules, "settings.rules.", "askWithin");
        }
        checkOptional(settings);
        checkProducts(settings.path("products"));
    }

    private static void checkLimits(JsonNode limits) throws InvalidSettingsException {
        String prefix = "settings.limits.";
        requirePositive(limits, prefix, "connectTimeout");
        requirePositive(limits, prefix, "connIdle");
        requireFlag(limits, prefix, "mayCancel");
        requireFlag(limits, prefix, "secondCopies");
        requireFlag(limits, prefix, "retryAfter");
        requireIntFrom(limits, prefix, "mostShots", 0);
        if (limits.path("retryAfter").asBoolean()) {
            require(limits, prefix, "maxRetryAfter", n -> n.isNumber() && n.asDouble() >= 0, "a number of 0 or more");
        }
    }

    /** Checks settings that only some deployments have; each may be absent, but must not have the wrong type. */
    private static void checkOptional(JsonNode settings) throws InvalidSettingsException {
        JsonNode instances = settings.path("replicasOfMe");
        requireIfPresent(
                settings,
                "me",
                n -> n.isInt() && n.asInt() >= 0 && n.asInt() < instances.asInt(),
                "a whole number below replicasOfMe");
        requireIfPresent(settings.path("limits"), "limits.peers", JsonNode::isBoolean, "true or false");
        JsonNode reporting = settings.path("reporting");
        requireIfPresent(
                reporting,
                "reporting.source",
                n -> List.of("answers", "probe", "none").contains(n.asText()),
                "answers, probe or none");
        requireIfPresent(reporting, "reporting.columns", n -> n.isArray() && n.size() <= 4, "up to four names");
        for (JsonNode column : reporting.path("columns")) {
            if (!column.isTextual() || column.asText().isEmpty()) {
                throw invalid("settings.reporting.columns", " must be names, not " + column);
            }
        }
    }

    private static void checkProducts(JsonNode products) throws InvalidSettingsException {
        if (!products.isArray() || products.isEmpty()) {
            throw invalid("settings.products", ": no products");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < products.size(); i++) {
            JsonNode product = products.get(i);
            requireName(product, "settings.products[" + i + "].", "name");
            String prefix = "settings.products: " + product.path("name").asText() + ": ";
            if (!names.add(product.path("name").asText())) {
                throw new InvalidSettingsException("settings.products[" + i + "].name", prefix + "named twice");
            }
            requireOneOf(product, prefix, "semantics", "free", "guarded", "single_shot");
            requirePositive(product, prefix, "clientTimeout");
            requirePositive(product, prefix, "latencySlo");
            require(product, prefix, "billedValue", n -> n.isNumber() && n.asDouble() >= 0, "a number of 0 or more");
            if (!product.path("lateBilledValue").isMissingNode()) {
                require(
                        product,
                        prefix,
                        "lateBilledValue",
                        n -> n.isNumber() && n.asDouble() >= 0 && n.asDouble() <= 1,
                        "from 0 to 1");
            }
            if (product.path("semantics").asText().equals("guarded")) {
                requireOneOf(product, prefix, "keyScope", "all", "zone", "cell");
                requirePositive(product, prefix, "repeatWindow");
            }
        }
    }

    /** Returns the exception for a field; its message begins with the field's name. */
    private static InvalidSettingsException invalid(String field, String reason) {
        return new InvalidSettingsException(field, field + reason);
    }

    private static void require(JsonNode parent, String prefix, String key, Predicate<JsonNode> valid, String expected)
            throws InvalidSettingsException {
        JsonNode given = parent.path(key);
        if (given.isMissingNode()) {
            throw invalid(prefix + key, " is missing; it must be " + expected);
        }
        if (!valid.test(given)) {
            throw invalid(prefix + key, " must be " + expected + ", not " + given);
        }
    }

    private static void requireIfPresent(JsonNode parent, String path, Predicate<JsonNode> valid, String expected)
            throws InvalidSettingsException {
        JsonNode given = parent.path(path.substring(path.indexOf('.') + 1));
        if (!given.isMissingNode() && !valid.test(given)) {
            throw invalid("settings." + path, " must be " + expected + ", not " + given);
        }
    }

    private static void requirePositive(JsonNode parent, String prefix, String key) throws InvalidSettingsException {
        require(parent, prefix, key, n -> n.isNumber() && n.asDouble() > 0, "a number above 0");
    }

    private static void requireIntFrom(JsonNode parent, String prefix, String key, int minimum)
            throws InvalidSettingsException {
        require(
                parent,
                prefix,
                key,
                n -> n.isInt() && n.asInt() >= minimum,
                "a whole number of " + minimum + " or more");
    }

    private static void requireFlag(JsonNode parent, String prefix, String key) throws InvalidSettingsException {
        require(parent, prefix, key, JsonNode::isBoolean, "true or false");
    }

    private static void requireName(JsonNode parent, String prefix, String key) throws InvalidSettingsException {
        require(parent, prefix, key, n -> n.isTextual() && !n.asText().isEmpty(), "a name");
    }

    private static void requireNames(JsonNode parent, String key) throws InvalidSettingsException {
        require(parent, "settings.", key, JsonNode::isArray, "a list of names");
    }

    private static void requireOneOf(JsonNode parent, String prefix, String key, String... allowed)
            throws InvalidSettingsException {
        require(
                parent,
                prefix,
                key,
                n -> List.of(allowed).contains(n.asText()),
                "one of " + String.join(", ", allowed));
    }

    private static boolean contains(JsonNode names, String name) {
        for (JsonNode element : names) {
            if (element.asText().equals(name)) {
                return true;
            }
        }
        return false;
    }
}
