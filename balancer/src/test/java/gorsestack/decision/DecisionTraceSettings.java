package gorsestack.decision;

import gorsestack.decision.Settings.Limits;
import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Reports;
import gorsestack.decision.Settings.Rules;
import gorsestack.decision.Settings.Scope;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the settings of one {@link DecisionTrace}, so that over some hundred seeds every option occurs both on and off. */
final class DecisionTraceSettings {
    static final long MILLISECOND = 1_000_000;
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final int[] INSTANCES = {1, 1, 2, 3, 8, 50, 400};

    private DecisionTraceSettings() {}

    static Settings draw(SplittableRandom random) {
        int instances = INSTANCES[random.nextInt(INSTANCES.length)];
        List<String> zones = ZONES.subList(0, 1 + random.nextInt(ZONES.size()));
        return new Settings(
                random.nextInt(instances),
                instances,
                random.nextInt(3),
                zones.get(random.nextInt(zones.size())),
                zones,
                products(random),
                limits(random),
                rules(random),
                random.nextBoolean(),
                random.nextBoolean(),
                reports(random),
                random.nextBoolean(),
                random.nextInt(3) * 0.15,
                MILLISECOND);
    }

    /** Returns the settings of the balancer with another index in the same tier. */
    static Settings withIndex(Settings settings, int index) {
        return new Settings(
                index,
                settings.instances(),
                settings.tier(),
                settings.zone(),
                settings.zones(),
                settings.products(),
                settings.limits(),
                settings.rules(),
                settings.watchesEndpoints(),
                settings.nominalWeights(),
                settings.reports(),
                settings.valueByWork(),
                settings.worstProductWeight(),
                settings.clockResolution());
    }

    /** Returns one product for every combination of repeat kind and scope. */
    private static List<Product> products(SplittableRandom random) {
        List<Product> products = new ArrayList<>();
        for (Repeat repeat : Repeat.values()) {
            for (Scope scope : Scope.values()) {
                products.add(product("p" + products.size(), repeat, scope, random));
            }
        }
        return products;
    }

    private static Product product(String name, Repeat repeat, Scope scope, SplittableRandom random) {
        long repeatWindow = (50 + random.nextInt(600)) * MILLISECOND;
        long slo = (100 + random.nextInt(400)) * MILLISECOND;
        long clientTimeout = slo + (100 + random.nextInt(1500)) * MILLISECOND;
        double lateBilledValue = random.nextBoolean() ? 0 : 0.5;
        return new Product(
                name, repeat, scope, repeatWindow, slo, clientTimeout, 0.5 + 3 * random.nextDouble(), lateBilledValue);
    }

    private static Limits limits(SplittableRandom random) {
        int maxAttempts = 1 + random.nextInt(5);
        boolean mayCancel = random.nextInt(4) > 0;
        boolean hedgingAllowed = random.nextInt(4) > 0;
        boolean retryAfter = random.nextInt(4) > 0;
        long maxRetryAfter = (50 + random.nextInt(450)) * MILLISECOND;
        return new Limits(maxAttempts, mayCancel, hedgingAllowed, retryAfter, maxRetryAfter, random.nextInt(4) > 0);
    }

    private static Rules rules(SplittableRandom random) {
        long watchDeadline = (500 + random.nextInt(5000)) * MILLISECOND;
        long slowStartTime = (1000 + random.nextInt(9000)) * MILLISECOND;
        return new Rules(
                watchDeadline,
                slowStartTime,
                0.05 + 0.3 * random.nextDouble(),
                1.5 + 2 * random.nextDouble(),
                (200 + random.nextInt(1000)) * MILLISECOND);
    }

    private static Reports reports(SplittableRandom random) {
        return switch (random.nextInt(4)) {
            case 0 -> new Reports(List.of("rps", "active"), 1, 0);
            case 1 -> new Reports(List.of("active"), 0, -1);
            default -> Reports.NONE;
        };
    }
}
