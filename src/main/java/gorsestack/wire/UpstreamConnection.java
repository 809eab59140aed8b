package gorsestack.wire;

import gorsestack.decision.Outcome;
import gorsestack.serve.Limits;
import java.net.InetSocketAddress;

/** A connection to an upstream: one shot at a time, kept between shots. */
public final class UpstreamConnection implements Link {
    /** Who waits for the shot under way. */
    public interface Waiting {
        /** How it ended; the answer only where it was fulfilled. */
        void ended(Outcome outcome, Answer answer);

        /** What the upstream said of its load, just before that. */
        void reported(String report);
    }

    /** Who keeps connections. */
    public interface Keeper {
        void free(UpstreamConnection connection);

        void closed(UpstreamConnection connection);

        void heard(String upstream);

        /** A connection that had been kept ended under a request, with nothing said to it. */
        void keptInVain();
    }

    public final String upstream;
    public final InetSocketAddress address;
    /** When it was last put by. */
    public long idleSince;

    private final Limits limits;
    private final Owner owner;
    private final Keeper keeper;
    private Runnable giveUpConnecting;
    private Channel channel;
    private HttpParser parser;
    private Waiting waiting;
    private byte[] unsent;
    private long lastByteAt;
    private boolean checked;
    private boolean kept;
    private boolean silent;
    private boolean written;
    private boolean closed;

    public UpstreamConnection(Limits limits, Owner owner, Keeper keeper, String upstream, InetSocketAddress address) {
        this.limits = limits;
        this.owner = owner;
        this.keeper = keeper;
        this.upstream = upstream;
        this.address = address;
    }

    public void connect(Network network) {
        giveUpConnecting = network.connect(address, this);
    }

    /** Sends one shot, once the connection is up. */
    public void send(byte[] request, Waiting by) {
        kept = parser != null;
        silent = true;
        waiting = by;
        written = false;
        parser = HttpParser.answer(limits);
        if (channel == null) {
            unsent = request;
        } else {
            channel.write(request);
        }
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        if (closed) {
            channel.close();
        } else if (unsent != null) {
            channel.write(unsent);
            unsent = null;
        }
    }

    @Override
    public void sent() {
        written = true;
    }

    @Override
    public void received(byte[] bytes, long at) {
        if (closed) {
            return;
        }
        keeper.heard(upstream);
        lastByteAt = owner.now();
        silent = false;
        if (waiting == null) {
            close(); // bytes that no shot asked for; a later one must not take them for its answer
            return;
        }
        try {
            int used = parser.feed(bytes, 0, bytes.length);
            if (parser.done()) {
                if (!written) {
                    // Danger: a second copy of the answer before, taken for this request's.
                    throw new BadMessage(502, "an answer ahead of its request");
                }
                Head head = parser.head();
                byte[] body = parser.body();
                Waiting by = waiting;
                waiting = null;
                if (used < bytes.length || head.lists("connection", "close")
                        || head.start[0].equals("HTTP/1.0")) {
                    close();
                } else {
                    keeper.free(this);
                }
                String report = head.field(LoadReport.NAME);
                if (report != null) {
                    by.reported(report);
                }
                Outcome outcome = outcome(head);
                by.ended(outcome, outcome == Outcome.FULFILLED ? Answer.of(head, body) : null);
            } else if (parser.begun() && !checked) {
                checked = true;
                restOfAnswer();
            }
        } catch (BadMessage e) {
            end(Outcome.SPOILT);
        }
    }

    /** Danger: an answer with a length that does not fit never ends, and holds its call until its time is up. */
    private void restOfAnswer() {
        owner.at(lastByteAt + limits.restOfAnswer(), () -> {
            if (closed || waiting == null || !parser.begun()) {
                checked = false;
            } else if (owner.now() >= lastByteAt + limits.restOfAnswer()) {
                end(Outcome.SPOILT);
            } else {
                restOfAnswer();
            }
        });
    }

    /** Rule 2: only what says that it was not processed has never run. */
    private static Outcome outcome(Head head) {
        return switch (head.start[1]) {
            case "200" -> Outcome.FULFILLED;
            case "503", "504" -> "1".equals(head.field("x-unprocessed")) ? Outcome.FULL : Outcome.ERROR;
            // It is the call that is turned down. Danger: bad clients' calls make every upstream look sick.
            default -> head.start[1].startsWith("4") ? Outcome.SPOILT : Outcome.ERROR;
        };
    }

    /** Gives up the shot under way, or the connection. Late bytes then reach nobody. */
    public void close() {
        if (!closed) {
            closed = true;
            waiting = null;
            if (channel != null) {
                channel.close();
            } else if (giveUpConnecting != null) {
                giveUpConnecting.run();
            }
            keeper.closed(this);
        }
    }

    private void end(Outcome outcome) {
        Waiting by = waiting;
        close();
        if (by != null) {
            by.ended(outcome, null);
        }
    }

    /** Did not come up in time. */
    public void tooSlow() {
        if (channel == null) {
            end(Outcome.UNREACHABLE);
        }
    }

    @Override
    public void closed() {
        if (!closed && waiting != null && kept && silent) {
            keeper.keptInVain();
        }
        // Rule 2: a request whose last byte was not written cannot have begun.
        end(written ? Outcome.BROKEN : Outcome.UNREACHABLE);
    }
}
