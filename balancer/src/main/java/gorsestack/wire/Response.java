package gorsestack.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A response to a client, relayed from an upstream or made by the balancer. Immutable; passed to {@link ClientConnection#respond} on the
 * event loop's thread.
 *
 * @param fields header lines, each with its line end, without those that frame the body
 * @param body the body, or the part of it that has been received
 * @param rest relays the rest of a large body; null where the body is complete
 */
public record Response(int status, byte[] fields, byte[] body, BodyRelay rest) {

    /**
     * Creates the response to a client from an upstream's response: its header lines, without the hop-by-hop fields and the load report,
     * and its body.
     */
    static Response of(MessageHead head, byte[] body, BodyRelay rest) {
        ByteArrayOutputStream fields = new ByteArrayOutputStream(128);
        head.copyFields(fields, LoadReport.NAME);
        return new Response(200, fields.toByteArray(), body, rest);
    }

    /** Creates a response of the balancer itself, with a line of text as its body. */
    public static Response own(int status, String fields, String text) {
        return new Response(
                status,
                ("Content-Type: text/plain\r\n" + fields).getBytes(StandardCharsets.ISO_8859_1),
                (text + "\n").getBytes(StandardCharsets.UTF_8),
                null);
    }

    /** Creates the response to a health check, which names the phase of the recovery unless that is empty. */
    static Response health(boolean ready, String recoveryPhase) {
        String text = (ready ? "ready" : "not ready") + (recoveryPhase.isEmpty() ? "" : "; " + recoveryPhase);
        return own(ready ? 200 : 503, "", text);
    }

    /**
     * Returns the bytes to be sent.
     *
     * @param last whether it is the last response of its connection, which then announces that it will be closed
     */
    public byte[] bytes(boolean last) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128 + fields.length + body.length);
        String start = "HTTP/1.1 " + status + " " + reasonPhrase() + "\r\n"
                + (rest != null ? rest.framingHeader() : "Content-Length: " + body.length + "\r\n")
                + (last ? "Connection: close\r\n" : "");
        out.writeBytes(start.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(fields);
        out.write('\r');
        out.write('\n');
        out.writeBytes(body);
        return out.toByteArray();
    }

    private String reasonPhrase() {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case 408 -> "Request Timeout";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Error";
        };
    }
}
