package gorsestack.wire;

import gorsestack.serve.Limits;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Follows the list of upstreams: a watch, kept up for as long as discovery lets it. */
public final class Discovery {
    /** Who is told. */
    public interface Listener {
        void news(Catalog catalog);

        /** No list was to be had; the listener says when to ask again. */
        void failed();

        /** From 0 up to 1; not the module's. */
        double chance();
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.discovery");

    private final Network network;
    private final Owner owner;
    private final Limits limits;
    private final InetSocketAddress address;
    private final Listener listener;
    private Watch watch;
    private long index;

    public Discovery(Network network, Owner owner, Limits limits, InetSocketAddress address, long index, Listener listener) {
        this.network = network;
        this.owner = owner;
        this.limits = limits;
        this.address = address;
        this.index = index;
        this.listener = listener;
    }

    /** Starts a watch unless one is under way. */
    public void watch() {
        if (watch == null) {
            watch = new Watch();
            watch.start();
        }
    }

    private final class Watch implements Link {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
        private final HttpParser parser = HttpParser.stream(limits, this::bytes);
        private Runnable giveUpConnecting;
        private Channel channel;
        private boolean told;
        private long heardAt = owner.now();

        void start() {
            giveUpConnecting = network.connect(address, this);
            owner.at(heardAt + limits.watchSilence(), this::check);
        }

        /** Danger: a watch on a machine that is cut off stays open and says nothing, of drains neither. */
        private void check() {
            if (watch == this) {
                long due = heardAt + limits.watchSilence();
                if (owner.now() < due) {
                    owner.at(due, this::check);
                } else {
                    lost("silent");
                }
            }
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (watch != this) {
                channel.close();
                return;
            }
            channel.write(("GET /catalog/members?watch=1&after=" + index + " HTTP/1.1\r\nHost: discovery\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void received(byte[] bytes, long at) {
            if (watch != this) {
                return;
            }
            try {
                parser.feed(bytes, 0, bytes.length);
                if (parser.head() != null && !granted()) {
                    lost("answered " + parser.head().start[1]);
                } else if (parser.done()) {
                    lost("ended");
                }
            } catch (BadMessage e) {
                lost(e.getMessage());
            }
        }

        private boolean granted() {
            return parser.head().start[1].equals("200");
        }

        private void bytes(byte[] from, int at, int length) throws BadMessage {
            if (!granted()) {
                return;
            }
            for (int i = at; i < at + length; i++) {
                if (from[i] != '\n') {
                    line.write(from[i]);
                    if (line.size() > limits.catalogLineBytes()) {
                        throw new BadMessage(502, "a line without an end");
                    }
                    continue;
                }
                heardAt = owner.now();
                byte[] whole = line.toByteArray();
                line.reset();
                if (!new String(whole, StandardCharsets.ISO_8859_1).isBlank()) {
                    Catalog catalog = Catalog.parse(whole);
                    index = catalog.index();
                    told = true;
                    listener.news(catalog);
                }
            }
        }

        @Override
        public void sent() { }

        @Override
        public void closed() {
            lost("closed");
        }

        /** A watch that told something is taken up again at once, spread; else the listener decides when. */
        private void lost(String why) {
            if (watch != this) {
                return;
            }
            watch = null;
            if (channel != null) {
                channel.close();
            } else if (giveUpConnecting != null) {
                giveUpConnecting.run();
            }
            LOG.log(System.Logger.Level.INFO, "watch lost: {0}", why);
            if (told) {
                owner.at(owner.now() + (long) (listener.chance() * limits.watchSpread()), Discovery.this::watch);
            } else {
                listener.failed();
            }
        }
    }
}
