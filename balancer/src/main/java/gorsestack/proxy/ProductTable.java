package gorsestack.proxy;

import gorsestack.decision.Settings;
import gorsestack.wire.Request;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The configured products by name. Immutable after construction. */
final class ProductTable {
    private final Map<String, Settings.Product> byName = new HashMap<>();

    ProductTable(List<Settings.Product> products) {
        products.forEach(product -> byName.put(product.name(), product));
    }

    /** The product of a request that was accepted, so its product is known. */
    Settings.Product of(Request request) {
        return byName.get(request.product());
    }

    /** How a product may be repeated; null for an unknown product. */
    Settings.Repeat repeat(String name) {
        Settings.Product product = byName.get(name);
        return product == null ? null : product.repeat();
    }

    /** The longest that the client waits: its product's timeout, or less if the request says so. */
    long clientTimeout(Request request) {
        long configured = of(request).clientTimeout();
        return request.remainingNanos() < 0 ? configured : Math.min(configured, request.remainingNanos());
    }
}
