package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gorsestack.decision.Settings;
import gorsestack.wire.Request;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the lookup of products by name, and for how long clients wait. */
class ProductTableTest {
    private final Settings.Product product = new Settings.Product(
            "product", Settings.Repeat.DEDUPLICATED, Settings.Scope.ALL, 5_000, 1_000, 3_000, 1, 0.5);
    private final ProductTable products = new ProductTable(List.of(product));

    private static Request request(long remainingTime) {
        return new Request(null, new byte[0], null, "c", "product", remainingTime);
    }

    @Test
    void findsAProductByName() {
        assertEquals(product, products.of(request(-1)));
        assertEquals(Settings.Repeat.DEDUPLICATED, products.repeat("product"));
        assertNull(products.repeat("unknown"));
    }

    @Test
    void clientTimeoutIsShortenedButNotExtendedByTheRequest() {
        long configured = product.clientTimeout();
        assertEquals(configured, products.clientTimeout(request(-1)));
        assertEquals(configured - 1, products.clientTimeout(request(configured - 1)));
        assertEquals(configured, products.clientTimeout(request(configured + 1)));
    }
}
