package gorsestack.proxy;

import gorsestack.decision.Settings;
import gorsestack.wire.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Holds the configured products by name. Used by {@link CallDispatcher} and its collaborators. Immutable after construction. */
final class ProductTable {
    private final Map<String, Settings.Product> byName = new HashMap<>();

    ProductTable(List<Settings.Product> products) {
        products.forEach(product -> byName.put(product.name(), product));
    }

    /** Returns the product of an accepted request, which is always a known one. */
    Settings.Product of(Request request) {
        return byName.get(request.product());
    }

    /** Returns whether and how calls of a product may be repeated; null for an unknown product. */
    Settings.Repeat repeat(String name) {
        Settings.Product product = byName.get(name);
        return product == null ? null : product.repeat();
    }

    /** Returns whether a call may run any number of times. */
    boolean isIdempotent(Request request) {
        return of(request).repeat() == Settings.Repeat.IDEMPOTENT;
    }

    /** Returns for how long the client waits, in nanoseconds: its product's timeout, or less if the request states less. */
    long clientTimeout(Request request) {
        long configured = of(request).clientTimeout();
        return request.remainingNanos() < 0 ? configured : Math.min(configured, request.remainingNanos());
    }
}
