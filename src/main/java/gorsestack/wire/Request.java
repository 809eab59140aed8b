package gorsestack.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** One API call as a client sent it: its bytes, and the fields that decisions need; left is -1 if untold. */
public record Request(Head head, byte[] body, String id, String product, long left) {

    static Request of(Head head, byte[] body) throws BadMessage {
        String method = head.start[0];
        String target = head.start[1];
        if (!method.equals("GET") && !method.equals("POST")) {
            throw new BadMessage(405, "method " + method);
        }
        String id = head.field("x-correlation-id");
        if (id == null || id.isEmpty()) {
            throw new BadMessage(400, "no X-Correlation-Id");
        }
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        if (!target.startsWith("/")) {
            throw new BadMessage(400, "a target that is no path");
        }
        return new Request(head, body, id, target.substring(1, end), TimeLeft.read(head.field("x-time-left")));
    }

    boolean hasKey() {
        return head.field("idempotency-key") != null;
    }

    /** The same call for an upstream, which is told how long this balancer will wait. */
    public byte[] forward(long wait) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(512 + body.length);
        head.copyStart(out);
        head.copyFields(out, "x-time-left");
        String more = TimeLeft.NAME + ": " + TimeLeft.write(wait) + "\r\n"
                + (body.length > 0 || head.start[0].equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
                + "\r\n";
        out.writeBytes(more.getBytes(StandardCharsets.ISO_8859_1));
        out.writeBytes(body);
        return out.toByteArray();
    }
}
