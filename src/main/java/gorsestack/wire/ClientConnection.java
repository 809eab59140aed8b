package gorsestack.wire;

import gorsestack.decision.Settings;
import gorsestack.serve.Limits;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;

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

        /** How this product may be repeated; null for one that is not known. */
        Settings.Repeat repeat(String product);
    }

    private record Chunk(byte[] bytes, long at) { }

    private static final System.Logger LOG = System.getLogger("gorsestack.client");
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Limits limits;
    private final Intake intake;
    private final Owner owner;
    private final ArrayDeque<Chunk> ahead = new ArrayDeque<>(1);
    private int aheadBytes;
    private HttpParser parser;
    private Channel channel;
    private long openedAt;
    private long begunAt;
    private long lastByteAt;
    private long idleSince;
    private int thrownAway;
    private boolean served;
    private boolean busy;
    private boolean last;
    private boolean deaf;
    private boolean lingering;
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
        openedAt = owner.now();
        begunAt = openedAt;
        idleSince = openedAt;
        intake.opened(this);
    }

    @Override
    public void received(byte[] bytes, long at) {
        if (closed) {
            return;
        }
        if (deaf) {
            // Danger: what a bad client still sends, 60 MB at full speed, costs as much as a good one's call.
            thrownAway += bytes.length;
            if (thrownAway > limits.bodyBytes() && !held) {
                held = true;
                channel.hold(true);
            }
            return;
        }
        lastByteAt = at;
        if (busy) {
            if (ahead.isEmpty() && !Request.canBegin(bytes, 0)) {
                intake.gone(this);
                bad(new BadMessage(400, "more than the length said"));
                return;
            }
            ahead.add(new Chunk(bytes, at));
            aheadBytes += bytes.length;
            if (aheadBytes > limits.bodyBytes() && !held) {
                held = true;
                channel.hold(true);
            }
        } else {
            read(bytes);
        }
    }

    private void read(byte[] bytes) {
        try {
            if (served && !parser.begun()) {
                begunAt = lastByteAt;
            }
            int used = parser.feed(bytes, 0, bytes.length);
            if (parser.done()) {
                // Danger: a length too short; what it cuts off is no request, and the call not the one meant.
                if (!Request.canBegin(bytes, used)) {
                    throw new BadMessage(400, "more than the length said");
                }
                if (used < bytes.length) {
                    ahead.addFirst(new Chunk(Arrays.copyOfRange(bytes, used, bytes.length), lastByteAt));
                    aheadBytes += bytes.length - used;
                }
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
    public void bad(BadMessage e) {
        LOG.log(System.Logger.Level.DEBUG, "answered {0}: {1}", e.status, e.getMessage());
        deaf = true;
        busy = true;
        lingering = true;
        channel.write(Answer.own(e.status, "", e.getMessage()).bytes(true));
        owner.at(owner.now() + limits.linger(), channel::close);
    }

    private void whole(Head head, byte[] body) {
        busy = true;
        served = true;
        last = head.start[2].equals("HTTP/1.0") || head.lists("connection", "close");
        if (head.start[1].equals("/_health")) {
            answer(intake.ready() ? Answer.own(200, "", "ready") : Answer.own(503, "", "not ready"));
            return;
        }
        try {
            Request request = Request.of(head, body);
            Settings.Repeat repeat = intake.repeat(request.product());
            BadMessage misfit = repeat == null ? null : request.misfit(repeat);
            if (repeat == null) {
                answer(Answer.own(404, "", "no such class"));
            } else if (misfit != null) {
                bad(misfit);
            } else {
                intake.call(this, request, lastByteAt);
            }
        } catch (BadMessage e) {
            bad(e);
        }
    }

    /** The one answer to the call under way. */
    public void answer(Answer answer) {
        if (closed || !busy || deaf) {
            return;
        }
        // Danger: calls sent ahead have been taken; closed on, they would have no answer.
        last |= intake.closing() && ahead.isEmpty();
        channel.write(answer.bytes(last));
        if (last) {
            deaf = true;
            channel.closeWhenSent();
            return;
        }
        told = false;
        idleSince = owner.now();
        parser = HttpParser.request(limits);
        if (held) {
            held = false;
            channel.hold(false);
        }
        if (!ahead.isEmpty()) {
            // Danger: hundreds of calls sent ahead, each answered at once, would be read inside each other.
            owner.execute(this::readAhead);
        } else {
            busy = false;
        }
    }

    /** Rule 1: a call sent ahead has been taken when its last byte came, not when its turn did. */
    private void readAhead() {
        busy = false;
        while (!closed && !deaf && !busy && !ahead.isEmpty()) {
            Chunk chunk = ahead.remove();
            aheadBytes -= chunk.bytes.length;
            lastByteAt = chunk.at;
            read(chunk.bytes);
        }
    }

    /** Danger: what begins and never ends, or never begins, would take up all connections that clients may have. */
    public void giveUpIfOverdue() {
        long now = owner.now();
        if (deaf || busy) {
            return;
        }
        if (parser.begun() && now - begunAt >= limits.wholeRequest()) {
            bad(new BadMessage(408, "the request did not come to its end"));
        } else if (!served && now - openedAt >= limits.idleClient()) {
            drop();
        }
    }

    /** What is closed first when room is short: answered and lingering, then never heard of, then idle; else 9. */
    public int spared() {
        long now = owner.now();
        if (lingering) {
            return 0;
        }
        // Danger: deaf but not lingering is one whose last answer is on its way out.
        if (deaf || busy || now - openedAt < limits.fresh()) {
            return 9;
        }
        if (!served) {
            return 1;
        }
        return !parser.begun() && now - idleSince >= limits.idleClient() ? 2 : 9;
    }

    public void drop() {
        deaf = true;
        channel.close();
        intake.closed(this);
    }

    /** Closes between calls, unless one has begun. */
    public void closeIfIdle() {
        if (!busy && !parser.begun()) {
            drop();
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
