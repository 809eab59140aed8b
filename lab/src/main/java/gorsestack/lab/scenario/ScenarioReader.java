package gorsestack.lab.scenario;

import gorsestack.lab.scenario.Scenario.Discovery;
import gorsestack.lab.scenario.Scenario.Fault;
import gorsestack.lab.scenario.Scenario.Fleet;
import gorsestack.lab.scenario.Scenario.Invariant;
import gorsestack.lab.scenario.Scenario.Load;
import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.scenario.Scenario.Rules;
import gorsestack.lab.scenario.Scenario.Tenant;
import gorsestack.lab.scenario.Scenario.Tier;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * Reads and validates scenario files, for the commands of the lab and for the soak. Each error is one line that names
 * the file, the line and, unless the file is not valid TOML, the key. Has no state.
 */
public final class ScenarioReader {
    private static final int MAX_PROCESSES = 200;
    private static final double MAX_SECONDS = 3600;
    private static final double UNBOUNDED = Double.POSITIVE_INFINITY;

    /** Names of the metrics that an invariant may use, in the order in which results list them. */
    public static final List<String> METRICS = List.of(
            "served",
            "served_worst_second",
            "rate_limited",
            "errored",
            "lost",
            "time_to_full_s",
            "attempts_per_call",
            "peak_list_calls",
            "peak_list_calls_over_steady",
            "peak_connections",
            "peak_connections_over_steady",
            "peak_attempts_over_steady",
            "p99_ms",
            "served_worst_zone",
            "served_worst_product",
            "served_worst_tenant",
            "regained",
            "start_s",
            "full_after_start_s",
            "peak_further_connections",
            "peak_further_connections_over_steady",
            "datagrams_per_second",
            "crashes",
            "killed_after_term");

    private ScenarioReader() {}

    /** Reads the text of a scenario. The name of the file is used in error messages only. */
    public static Scenario read(String file, String text) throws InvalidScenarioException {
        Section root = new Section(file, "", parse(file, text), 1);
        List<String> zones = root.texts("zones", List.of("a", "b", "c"));
        if (zones.isEmpty() || new HashSet<>(zones).size() < zones.size()) {
            throw root.invalid("zones", "must be a list of one or more different names");
        }
        List<Tier> tiers = tiers(root);
        List<Product> products = products(root);
        List<Tenant> tenants = root.list("tenants", ScenarioReader::tenant);
        double seconds = root.number("seconds", Section.REQUIRED, 1, MAX_SECONDS);
        List<Fault> faults = new ArrayList<>();
        for (Section section : root.sections("faults")) {
            faults.add(FaultReader.read(section, faults.size(), seconds));
        }
        List<Invariant> invariants = root.list("invariants", section -> invariant(section, faults));
        Scenario scenario = new Scenario(
                root.text("name", null),
                root.text("about", null),
                seconds,
                root.number("lead", 3, 0, 60),
                root.number("settle", 5, 0, 600),
                zones,
                fleet(root.section("fleet")),
                tiers,
                discovery(root.section("discovery")),
                rules(root.section("rules")),
                products,
                tenants,
                load(root.section("load")),
                faults,
                invariants);
        root.rejectUnknownKeys();
        if (scenario.processes() > MAX_PROCESSES) {
            throw root.invalid(
                    "fleet",
                    "and tiers together make " + scenario.processes() + " processes; " + MAX_PROCESSES + " at most");
        }
        return scenario;
    }

    private static TomlParseResult parse(String file, String text) throws InvalidScenarioException {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            TomlParseError first = parsed.errors().get(0);
            throw new InvalidScenarioException(file + ":" + first.position().line() + ": "
                    + first.getMessage().lines().findFirst().orElse("unreadable"));
        }
        return parsed;
    }

    private static List<Tier> tiers(Section root) throws InvalidScenarioException {
        List<Tier> tiers = new ArrayList<>();
        for (Section section : root.sections("tiers")) {
            tiers.add(tier(section, tiers.size()));
        }
        if (tiers.isEmpty()) {
            throw root.invalid("tiers", "is missing; at least one [[tiers]] is required");
        }
        return tiers;
    }

    private static List<Product> products(Section root) throws InvalidScenarioException {
        List<Product> products = root.list("products", ScenarioReader::product);
        return products.isEmpty() ? defaultProducts() : products;
    }

    private static Tenant tenant(Section section) throws InvalidScenarioException {
        Tenant tenant = new Tenant(section.text("name", null), section.number("share", 1, 0, 1e6));
        section.rejectUnknownKeys();
        return tenant;
    }

    private static Fleet fleet(Section section) throws InvalidScenarioException {
        Fleet fleet = new Fleet(
                section.integer("balancers", 24, 1, 200),
                section.number("cores", 0.5, 0.05, 64),
                section.integer("memory_mb", 144, 32, 65536),
                section.integer("sockets", 512, 96, 65536),
                section.flag("peers", false),
                section.flag("mgmt", false),
                section.flag("state", false),
                section.flag("forgets", false),
                section.number("ready_within", 30, 1, 600),
                section.number("health_every", 0.2, 0.02, 60),
                section.number("dead_after", 1, 0.1, 600));
        section.rejectUnknownKeys();
        return fleet;
    }

    private static Tier tier(Section section, int number) throws InvalidScenarioException {
        Tier tier = new Tier(
                section.text("name", "tier" + number),
                section.integer("upstreams", 12, 1, 200),
                section.integer("cells", 4, 1, 200),
                section.integer("slots", 8, 1, 10_000),
                section.integer("queue", 40, 0, 100_000),
                section.integer("connections", 400, 1, 100_000),
                section.number("speed", 1, 0.01, 100),
                section.number("slow_kind", 1, 0.01, 100),
                section.integer("calls", 1, 0, 10),
                section.flag("works_off", false));
        section.rejectUnknownKeys();
        return tier;
    }

    private static Discovery discovery(Section section) throws InvalidScenarioException {
        Discovery discovery = new Discovery(
                section.number("calls_per_second", 20, 0.1, 100_000),
                section.number("wait", 0.8, 0.01, 60),
                section.number("late", 0.5, 0, 60),
                section.number("notices", 1.5, 0, 60));
        section.rejectUnknownKeys();
        return discovery;
    }

    private static Rules rules(Section section) throws InvalidScenarioException {
        Rules rules = new Rules(
                section.number("drain_grace", 2, 0.01, 60),
                section.number("cold", 10, 0, 600),
                section.number("cold_share", 0.2, 0.01, 1),
                section.number("fall", 1, 0.1, 60),
                section.number("fall_multiple", 2.5, 1, 100),
                section.number("ask_within", 10, 0.1, 600),
                section.number("told_within", 6, 0.1, 600),
                section.integer("attempts", 4, 1, 100),
                section.flag("second_copies", true),
                section.flag("may_cancel", true),
                section.flag("retry_after", true),
                section.number("connect_timeout_ms", 120, 1, 60_000),
                section.number("idle_ms", 30_000, 100, 600_000));
        section.rejectUnknownKeys();
        return rules;
    }

    private static Product product(Section section) throws InvalidScenarioException {
        double timeout = section.number("timeout_ms", 3000, 10, 600_000);
        Product product = new Product(
                section.text("name", null),
                section.oneOf("semantics", "free", List.of("free", "guarded", "single_shot")),
                section.oneOf("key_scope", "zone", List.of("all", "zone", "cell")),
                section.number("repeat_window", 6, 0, 600),
                section.number("share", 1, 0, 1000),
                section.number("work_ms", 20, 0.1, 60_000),
                section.number("spread", 0.5, 0, 2),
                section.number("slo_ms", Math.min(1200, timeout), 1, timeout),
                timeout,
                section.number("worth", 1, 0, 1000),
                section.number("late_worth", 0.5, 0, 1));
        section.rejectUnknownKeys();
        return product;
    }

    /** Returns one product of each semantics, for scenarios that define no products. */
    private static List<Product> defaultProducts() {
        return List.of(
                new Product("read", "free", "zone", 6, 0.6, 20, 0.5, 1200, 3000, 1, 0.5),
                new Product("publish", "guarded", "zone", 6, 0.25, 25, 0.5, 1500, 3000, 2, 0.25),
                new Product("write", "single_shot", "zone", 6, 0.15, 25, 0.5, 1200, 3000, 2, 0.5));
    }

    private static Load load(Section section) throws InvalidScenarioException {
        Load load = new Load(
                section.number("rate", Section.REQUIRED, 0.1, 100_000),
                section.number("uneven", 1, 1, 100),
                section.integer("tries", 2, 1, 20),
                section.number("wait_ms", 100, 0, 60_000),
                section.number("try_timeout", 1, 0.01, 1),
                section.number("leave", 0, 0, 1));
        section.rejectUnknownKeys();
        return load;
    }

    private static Invariant invariant(Section section, List<Fault> faults) throws InvalidScenarioException {
        String metric = section.oneOf("figure", null, METRICS);
        Period period = Period.of(section.oneOf("over", Period.ALL.key(), Period.keys()));
        if (!section.has("at_least") && !section.has("at_most")) {
            throw section.invalid("figure", "needs at_least or at_most");
        }
        if (relatesToFault(metric, period) && faults.stream().noneMatch(Fault::measured)) {
            throw section.invalid("figure", "is measured from a fault, but the scenario has no measured fault");
        }
        Invariant invariant = new Invariant(
                metric,
                period,
                section.number("at_least", -UNBOUNDED, -1e12, 1e12),
                section.number("at_most", UNBOUNDED, -1e12, 1e12));
        section.rejectUnknownKeys();
        return invariant;
    }

    /** Returns whether a metric over a period is computed relative to the first measured fault. */
    private static boolean relatesToFault(String metric, Period period) {
        return period == Period.BEFORE
                || period == Period.AFTER
                || metric.contains("full")
                || metric.equals("regained");
    }
}
