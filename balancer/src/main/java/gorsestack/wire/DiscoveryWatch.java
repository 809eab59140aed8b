package gorsestack.wire;

import gorsestack.settings.DiscoveryTimings;
import gorsestack.settings.Limits;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Follows discovery's list of endpoints by a watch: one long request whose response delivers an event for each change. A watch that ends is
 * opened again after a delay ({@link PollBackoff}). After a change of discovery's address a second watch runs beside the first until it
 * delivers its list. Owned by the proxy's dispatcher; used on the event loop's thread only.
 */
public final class DiscoveryWatch {
    /** Receives the events of the watch, on the event loop's thread. */
    public interface Listener {
        /** Called for each event of the watch: a list of endpoints, or changes to it. */
        void watchEvent(WatchEvent event);

        /**
         * Called when the active watch ended before it delivered anything, unless a move to another address is under way; it will be opened
         * again.
         */
        void watchFailed();

        /** Returns a random number from 0 up to 1 that is not drawn from the balancing policy's generator. */
        double jitter();
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.discovery");

    private final Network network;
    private final EventLoop eventLoop;
    private final Limits limits;
    private final Listener listener;
    private final PollBackoff backoff;
    private InetSocketAddress address;
    /** The watch on the address in use; null between two watches. */
    private Watch active;
    /** The watch on an address that is being moved to, until it delivers its list; null if there is none. */
    private Watch candidate;

    private long index;
    private long confirmedAt;

    /**
     * Creates a watch that has not been started yet.
     *
     * @param index version of the list that is known already, or 0
     */
    public DiscoveryWatch(
            Network network,
            EventLoop eventLoop,
            Limits limits,
            InetSocketAddress address,
            long index,
            Listener listener) {
        this.network = network;
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.address = address;
        this.index = index;
        this.listener = listener;
        backoff = new PollBackoff(limits, listener::jitter);
    }

    /** Returns the address from which the list in use came; the initial one until a move is complete. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the version of the list in use; 0 if none is known, or if the whole list is to be requested again. */
    public long index() {
        return index;
    }

    /** Returns when a line of the watch last confirmed that the list in use is current; 0 if none has yet. */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Starts a watch unless one is under way. */
    public void watch() {
        if (active == null && candidate == null) {
            active = new Watch(address, index, limits.discovery().watchSilenceNanos());
            active.start();
        }
    }

    /**
     * Moves to another address of discovery. The old discovery may end soon and the new one may be slow to respond, so the active watch is
     * only given up for one that has delivered its list.
     */
    public void moveTo(InetSocketAddress newAddress) {
        Watch previous = candidate;
        candidate = null;
        if (previous != null && previous.target.equals(newAddress)) {
            candidate = previous; // A watch on this address has been started already.
            return;
        }
        if (previous != null) {
            previous.close();
        }
        if (!newAddress.equals(address)) {
            // Another discovery numbers its own versions, none of which this balancer knows.
            candidate = new Watch(newAddress, 0, limits.discovery().firstUpdateTimeoutNanos());
            candidate.start();
        } else {
            watch();
        }
    }

    /** One watch on one address: it connects, sends its request and receives events until it is lost. */
    private final class Watch implements ConnectionHandler {
        private final WatchLineSplitter splitter = new WatchLineSplitter();
        private final HttpParser parser = HttpParser.stream(limits, this::bodyReceived);
        private final InetSocketAddress target;
        private final long knownIndex;
        /** How long nothing may arrive before the watch counts as lost, in nanoseconds. */
        private long silenceTimeout;

        private Channel channel;
        private boolean delivered;
        private long startedAt;
        private long lastReceivedAt;

        Watch(InetSocketAddress target, long knownIndex, long silenceTimeout) {
            this.target = target;
            this.knownIndex = knownIndex;
            this.silenceTimeout = silenceTimeout;
        }

        /** Connects, unless the watch has been replaced in the meantime. */
        void start() {
            if (!replaced()) {
                startedAt = eventLoop.now();
                lastReceivedAt = startedAt;
                network.connect(target, this);
                eventLoop.at(startedAt + Math.min(limits.discovery().connectTimeoutNanos(), silenceTimeout), () -> {
                    if (channel == null && !replaced()) {
                        lost("does not connect");
                    }
                });
                eventLoop.at(lastReceivedAt + silenceTimeout, this::checkSilence);
            }
        }

        private boolean replaced() {
            return active != this && candidate != this;
        }

        /**
         * Gives up the watch when nothing has arrived for too long. Without this, a watch on a machine that is cut off from the network
         * would stay open and deliver nothing, so that drains would be missed.
         */
        private void checkSilence() {
            if (!replaced()) {
                long due = lastReceivedAt + silenceTimeout;
                if (eventLoop.now() < due) {
                    eventLoop.at(due, this::checkSilence);
                } else {
                    lost("silent");
                }
            }
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (replaced()) {
                channel.close();
                return;
            }
            channel.write(("GET /catalog/members?watch=1&after=" + knownIndex + " HTTP/1.1\r\nHost: discovery\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void received(byte[] bytes, long readAt) {
            if (replaced()) {
                return;
            }
            try {
                parser.feed(bytes, 0, bytes.length);
                if (parser.head() != null && !accepted()) {
                    lost("answered " + parser.head().start[1]);
                } else if (parser.done()) {
                    lost("ended");
                }
            } catch (MalformedMessageException e) {
                lost(e.getMessage());
            }
        }

        /** Returns whether discovery accepted the request. */
        private boolean accepted() {
            return parser.head().start[1].equals("200");
        }

        private void bodyReceived(byte[] buffer, int offset, int length) throws MalformedMessageException {
            if (!accepted()) {
                return;
            }
            for (int i = offset; i < offset + length; i++) {
                boolean complete = splitter.add(buffer[i]);
                if (splitter.size() > limits.buffer().discoveryLineBytes()) {
                    throw new MalformedMessageException(502, "a line exceeds the maximum length");
                }
                if (complete) {
                    lineReceived(splitter.take());
                }
            }
        }

        /** Handles one line. A blank line is a heartbeat: it confirms the list and changes nothing. */
        private void lineReceived(byte[] line) throws MalformedMessageException {
            lastReceivedAt = eventLoop.now();
            if (!new String(line, StandardCharsets.ISO_8859_1).isBlank()) {
                WatchEvent event = WatchEvent.parse(line);
                if (candidate == this) {
                    becomeActive();
                }
                index = event.index();
                delivered = true;
                deliver(event);
            }
            if (delivered && active == this) {
                confirmedAt = lastReceivedAt;
            }
        }

        /**
         * Delivers an event. If the listener fails, the whole list is requested again; otherwise the event would be lost permanently, as
         * only newer ones are requested.
         */
        private void deliver(WatchEvent event) throws MalformedMessageException {
            try {
                listener.watchEvent(event);
            } catch (RuntimeException e) {
                // The lab counts "task failed" in the log as a fault of the program.
                LOG.log(
                        System.Logger.Level.ERROR,
                        "task failed, the whole endpoint list is requested again: event " + event.index(),
                        e);
                index = 0;
                throw new MalformedMessageException(502, "an event could not be applied");
            }
        }

        @Override
        public void sent() {}

        @Override
        public void closed() {
            lost("closed");
        }

        /** Replaces the active watch by this candidate, which has delivered its list. */
        private void becomeActive() {
            Watch previous = active;
            active = this;
            candidate = null;
            address = target;
            silenceTimeout = limits.discovery().watchSilenceNanos();
            if (previous != null) {
                previous.close();
            }
            LOG.log(System.Logger.Level.INFO, "discovery_moved address={0}", target);
        }

        private void close() {
            if (channel != null) {
                channel.close();
            }
        }

        /** Closes the watch and schedules the next one. */
        private void lost(String reason) {
            if (replaced()) {
                return;
            }
            boolean moving = candidate == this;
            if (moving) {
                candidate = null;
            } else {
                active = null;
            }
            close();
            LOG.log(System.Logger.Level.INFO, "watch_lost reason=\"{0}\"", reason);
            long now = eventLoop.now();
            long soon = now + backoff.shortDelay(); // Drawn in each case, so that the order of random draws is fixed.
            if (moving) {
                // The list of the new discovery counts as delivered seconds after the move, so its address is tried
                // again until it delivers the list. With a shorter timeout for each try, a discovery that takes longer
                // for its first line would never be followed.
                boolean slow = now - startedAt >= silenceTimeout;
                DiscoveryTimings timings = limits.discovery();
                candidate = new Watch(
                        target, knownIndex, slow ? timings.watchSilenceNanos() : timings.firstUpdateTimeoutNanos());
                eventLoop.at(soon, candidate::start);
            } else if (candidate != null) {
                return; // No new connection to the old address: the candidate is already under way.
            } else if (delivered) {
                eventLoop.at(soon, DiscoveryWatch.this::watch);
            } else {
                listener.watchFailed();
                eventLoop.at(now + backoff.delayAfterFailure(now - startedAt), DiscoveryWatch.this::watch);
            }
        }
    }
}
