package gorsestack.wire;

import gorsestack.serve.Limits;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** A connection that a client opened: one API call at a time, each with one answer. */
public final class ClientConnection implements Link {
    /** Where calls go. */
    public interface Intake {
        void opened(ClientConnection from);

        /** A whole call; its answer comes through answer(). arrivedAt is when its last byte was read. */
        void call(ClientConnection from, Request request, long arrivedAt);

        /** The client has closed with its call unanswered. */
        void gone(ClientConnection from);

        void closed(ClientConnection from);

        boolean ready();

        /** Whether connections are to be closed after the next answer. */
        boolean closing();

        /** Whether a repeat of this product is known by its key. */
        boolean needsKey(String product);

        boolean knows(String product);
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.client");
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Limits limits;
    private final Intake intake;
    private final Owner owner;
    private final ByteArrayOutputStream ahead = new ByteArrayOutputStream(0);
    private HttpParser parser;
    private Channel channel;
    private long lastByteAt;
    private boolean busy;
    private boolean last;
    private boolean deaf;
    private boolean held;
    private boolean told;
    private boolean closed;

    public ClientConnection(Limits limits, Owner owner, Intake intake) {
        this.owner = owner;
        this.limits = limits;
        this.intake = intake;
        parser = HttpParser.request(limits);
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        lastByteAt = owner.now();
        intake.opened(this);
    }

    @Override
    public void received(byte[] bytes, long at) {
        if (deaf || closed) {
            return;
        }
        lastByteAt = at;
        if (busy) {
            ahead.writeBytes(bytes);
            if (ahead.size() > limits.bodyBytes() && !held) {
                held = true;
                channel.hold(true);
            }
        } else {
            read(bytes);
        }
    }

    private void read(byte[] bytes) {
        try {
            int used = parser.feed(bytes, 0, bytes.length);
            if (parser.done()) {
                ahead.write(bytes, used, bytes.length - used);
                whole(parser.head(), parser.body());
            } else if (parser.head() != null && !told && parser.head().lists("expect", "100-continue")) {
                told = true;
                channel.write(CONTINUE);
            }
        } catch (BadMessage e) {
            bad(e);
        }
    }

    /** Danger: closing at once on what a client still sends resets the connection under its answer. */
    private void bad(BadMessage e) {
        LOG.log(System.Logger.Level.DEBUG, "answered {0}: {1}", e.status, e.getMessage());
        deaf = true;
        busy = true;
        channel.write(Answer.own(e.status, "", e.getMessage()).bytes(true));
        owner.at(owner.now() + limits.linger(), channel::close);
    }

    private void whole(Head head, byte[] body) {
        busy = true;
        last = head.start[2].equals("HTTP/1.0") || head.lists("connection", "close");
        if (head.start[1].equals("/_health")) {
            answer(intake.ready() ? Answer.own(200, "", "ready") : Answer.own(503, "", "not ready"));
            return;
        }
        try {
            Request request = Request.of(head, body);
            if (!intake.knows(request.product())) {
                answer(Answer.own(404, "", "no such class"));
            } else if (intake.needsKey(request.product()) && !request.hasKey()) {
                answer(Answer.own(400, "", "this class needs an Idempotency-Key"));
            } else {
                intake.call(this, request, lastByteAt);
            }
        } catch (BadMessage e) {
            LOG.log(System.Logger.Level.DEBUG, "answered {0}: {1}", e.status, e.getMessage());
            answer(Answer.own(e.status, "", e.getMessage()));
        }
    }

    /** The one answer to the call under way. */
    public void answer(Answer answer) {
        if (closed || !busy || deaf) {
            return;
        }
        last |= intake.closing();
        channel.write(answer.bytes(last));
        if (last) {
            deaf = true;
            channel.closeWhenSent();
            return;
        }
        told = false;
        parser = HttpParser.request(limits);
        if (held) {
            held = false;
            channel.hold(false);
        }
        if (ahead.size() > 0) {
            // Danger: hundreds of calls sent ahead, each answered at once, would be read inside each other.
            owner.execute(this::readAhead);
        } else {
            busy = false;
        }
    }

    private void readAhead() {
        if (!closed) {
            busy = false;
            byte[] more = ahead.toByteArray();
            ahead.reset();
            read(more);
        }
    }

    /** Danger: requests that begin and never end would take up all connections that clients may have. */
    public void giveUpIfBegunBefore(long time) {
        if (!busy && parser.begun() && lastByteAt < time) {
            bad(new BadMessage(408, "the request did not come to its end"));
        }
    }

    /** Closes between calls where no byte has come since then; where a call is under way, its answer does. */
    public void closeIfIdleSince(long time) {
        if (!busy && !parser.begun() && lastByteAt <= time) {
            deaf = true;
            channel.close();
        }
    }

    @Override
    public void sent() { }

    @Override
    public void closed() {
        if (closed) {
            return;
        }
        closed = true;
        if (channel == null) {
            return;
        }
        if (busy && !deaf) {
            intake.gone(this);
        }
        intake.closed(this);
    }
}
