package gorsestack.wire;

import gorsestack.decision.Settings;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * One API call as a client sent it, with the fields that decisions need. Immutable; created by {@link ClientConnection} and passed to the
 * proxy, on the event loop's thread.
 *
 * @param body the body; empty where upload relays it
 * @param upload relays a body that is too large to be buffered; null otherwise
 * @param id the correlation id
 * @param product the first segment of the target's path
 * @param remainingNanos how long the client will still wait, in nanoseconds; -1 if it did not state it
 */
public record Request(MessageHead head, byte[] body, BodyRelay upload, String id, String product, long remainingNanos) {

    private static final int MAX_ID_LENGTH = 200;
    /** Text of the response to a request whose class is not configured. */
    static final String NO_SUCH_CLASS = "no such class";

    private static final byte[] NO_BODY = new byte[0];

    /** Validates a message as an API call. */
    static Request of(MessageHead head, byte[] body, BodyRelay upload) throws MalformedMessageException {
        String method = head.start[0];
        String target = head.start[1];
        if (!method.equals("GET") && !method.equals("POST")) {
            throw new MalformedMessageException(405, "method " + method);
        }
        String id = head.field("x-correlation-id");
        if (id == null
                || id.isEmpty()
                || id.length() > MAX_ID_LENGTH
                || id.indexOf(' ') >= 0
                || id.indexOf('\t') >= 0) {
            throw new MalformedMessageException(400, "X-Correlation-Id must be there once");
        }
        if (head.isRepeated("idempotency-key") || head.isRepeated("host")) {
            throw new MalformedMessageException(400, "a header that must be there once is there twice");
        }
        if (!head.start[2].equals("HTTP/1.1")) {
            throw new MalformedMessageException(505, "calls are HTTP/1.1");
        }
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        if (!target.startsWith("/") || target.indexOf('\t') >= 0) {
            throw new MalformedMessageException(400, "a target that is no path");
        }
        return new Request(
                head, body, upload, id, target.substring(1, end), DeadlineHeader.read(head.field("x-time-left")));
    }

    /** Returns whether its client marks it as a retry. */
    public boolean markedAsRetry() {
        return "1".equals(head.field("x-repeat"));
    }

    /** Returns this request without its body, which occupies no memory then; for a call that will have no further attempt. */
    public Request withoutBody() {
        return new Request(head, NO_BODY, null, id, product, remainingNanos);
    }

    /** Throws the error to respond with if the class is unknown, or method and key do not fit its retry safety. */
    void checkClass(Settings.Repeat repeat) throws MalformedMessageException {
        if (repeat == null) {
            throw new MalformedMessageException(404, NO_SUCH_CLASS);
        }
        MalformedMessageException violation = retrySafetyViolation(repeat);
        if (violation != null) {
            throw violation;
        }
    }

    /**
     * Checks that method and key fit the product's retry safety, as an upstream concludes from them whether a call may be retried. Returns
     * null if they do, and the error to respond with otherwise.
     */
    MalformedMessageException retrySafetyViolation(Settings.Repeat repeat) {
        boolean get = repeat == Settings.Repeat.IDEMPOTENT;
        if (get != head.start[0].equals("GET")) {
            return new MalformedMessageException(405, "this class takes " + (get ? "GET" : "POST"));
        }
        if (get && (body.length > 0 || upload != null)) {
            return new MalformedMessageException(400, "a GET with a body");
        }
        String key = head.field("idempotency-key");
        return switch (repeat) {
            case IDEMPOTENT -> null;
            case DEDUPLICATED ->
                key != null && !key.isEmpty()
                        ? null
                        : new MalformedMessageException(400, "this class needs an Idempotency-Key");
            case NON_IDEMPOTENT ->
                key == null ? null : new MalformedMessageException(400, "this class takes no Idempotency-Key");
        };
    }

    /** Returns whether these bytes, as far as they go, can be the start of a request. */
    static boolean canBegin(byte[] bytes, int offset) {
        int position = offset;
        while (position < bytes.length && (bytes[position] == '\r' || bytes[position] == '\n')) {
            position++;
        }
        String start = new String(bytes, position, Math.min(5, bytes.length - position), StandardCharsets.ISO_8859_1);
        return "GET /".startsWith(start) || "POST ".startsWith(start);
    }

    /**
     * Returns the bytes of the request to an upstream; a relayed body follows them.
     *
     * @param waitNanos how long this balancer will wait for the response, in nanoseconds
     */
    public byte[] forward(long waitNanos) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512 + body.length);
        head.copyStart(out);
        head.copyFields(out, "x-time-left");
        String ownFields = DeadlineHeader.NAME + ": " + DeadlineHeader.write(waitNanos) + "\r\n"
                + (upload != null
                        ? upload.framingHeader()
                        : body.length > 0 || head.start[0].equals("POST")
                                ? "Content-Length: " + body.length + "\r\n"
                                : "")
                + "\r\n";
        out.writeBytes(ownFields.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }
}
