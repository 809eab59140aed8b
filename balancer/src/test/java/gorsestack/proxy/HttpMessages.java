package gorsestack.proxy;

/** Creates requests and responses that the tests of this package send. */
final class HttpMessages {
    private HttpMessages() {}

    /** Returns a request for one of the products of {@link DispatcherRig} with two seconds of remaining time. */
    static String request(String product, String id) {
        return (product.equals("read") ? "GET" : "POST") + " /" + product + " HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Time-Left: 2000m\r\n" + (product.startsWith("mark") ? "Idempotency-Key: k\r\n" : "")
                + (product.equals("read") ? "\r\n" : "Content-Length: 2\r\n\r\nhi");
    }

    /** Returns a request for a product that no configuration has; the response is 404. */
    static String unknownProduct(String id) {
        return "GET /none HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\n\r\n";
    }

    /** Returns a complete 200 response. */
    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
