package gorsestack.lab.standin;

import gorsestack.lab.scenario.Scenario.Product;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Builds the requests and responses that stand-ins send over HTTP. Stateless. */
final class HttpMessages {
    /** The maximum size in bytes of a body that clients and upstreams accept. */
    static final int MAX_BODY_BYTES = 64 << 20;

    static final String CORRELATION_ID = "X-Correlation-Id";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Matches the id of a client's request that is a retry: the call number and a try number above 0. */
    private static final String RETRY_ID = "c\\d+t[1-9]\\d*";

    /** A request of the service protocol. If the idempotency key is empty, the id is used instead, for products that are deduplicated. */
    record ServiceRequest(Product product, String id, String key, String tenant, double remainingTimeMs) {}

    private HttpMessages() {}

    /** Returns a GET request without headers of the service protocol. */
    static FullHttpRequest get(String path) {
        return request(HttpMethod.GET, path, "");
    }

    private static FullHttpRequest request(HttpMethod method, String path, String body) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, path, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set("Host", "service.internal");
        return request;
    }

    /** Returns a request with the headers of the service protocol. */
    static FullHttpRequest serviceRequest(ServiceRequest details) {
        Product product = details.product;
        FullHttpRequest request = product.idempotent()
                ? get("/" + product.name())
                : request(HttpMethod.POST, "/" + product.name(), "work");
        request.headers().set(CORRELATION_ID, details.id);
        if (!details.tenant.isEmpty()) {
            request.headers().set("X-Tenant", details.tenant);
        }
        if (details.id.matches(RETRY_ID)) {
            request.headers().set("X-Repeat", "1");
        }
        request.headers().set("X-Time-Left", Math.round(details.remainingTimeMs * 1000) + "u");
        if (product.deduplicated()) {
            request.headers().set(IDEMPOTENCY_KEY, details.key.isEmpty() ? details.id : details.key);
        }
        if (!product.idempotent()) {
            request.headers().set("Content-Length", request.content().readableBytes());
        }
        return request;
    }

    /** Returns a response with a status and a body. */
    static FullHttpResponse response(HttpResponseStatus status, String body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set("Content-Length", response.content().readableBytes());
        return response;
    }
}
