package gorsestack.lab.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The state of the simulated network between two parties: drops, stalls, delay, bandwidth and datagram faults in each direction. Faults
 * change the state; {@link LinkHandler}, {@link FaultyListener} and {@link DatagramRelay} apply it. Confined to the event loop.
 */
public final class Link {
    /**
     * The state of one direction of a link. Drops and stalls are counted, so that overlapping ones remain in effect until the last ends.
     */
    public static final class Direction {
        private int drops;
        private int stalls;
        /** The delay of all data, in milliseconds. */
        public double delayMs;
        /** The maximum of the random delay that is added, in milliseconds. */
        public double jitterMs;
        /** The bandwidth for connections; infinite if it is not limited. */
        public double bytesPerSecond = Double.POSITIVE_INFINITY;
        /** The fraction of the datagrams that are lost. */
        public double loss;
        /** The fraction of the datagrams that are delivered twice. */
        public double duplicate;
        /** The fraction of the datagrams that get an extra delay, so that later ones overtake them. */
        public double reorder;

        /** Returns whether no data passes now. Bytes of connections wait meanwhile, because TCP would retransmit them until they arrive. */
        boolean blocked() {
            return drops > 0 || stalls > 0;
        }

        /** Returns whether bytes of a connection pass without delay. */
        boolean unimpaired() {
            return !blocked() && delayMs == 0 && jitterMs == 0 && bytesPerSecond == Double.POSITIVE_INFINITY;
        }
    }

    /** A connection over a link, which is notified when the state of the link changes. */
    interface LinkConnection {
        /** Applies the new state of the link to the connection. */
        void linkChanged();

        /** Resets the connection. */
        void reset();
    }

    /** The name of the party that opens the connections. */
    public final String from;
    /** The name of the party that accepts the connections. */
    public final String to;
    /** The direction from the party that opens the connections. */
    public final Direction forward = new Direction();
    /** The direction to the party that opens the connections. */
    public final Direction backward = new Direction();

    private final Set<LinkConnection> connections = new LinkedHashSet<>();
    private Runnable reachabilityListener = () -> {};

    Link(String from, String to) {
        this.from = from;
        this.to = to;
    }

    void onReachabilityChange(Runnable listener) {
        reachabilityListener = listener;
    }

    void add(LinkConnection connection) {
        connections.add(connection);
    }

    void remove(LinkConnection connection) {
        connections.remove(connection);
    }

    /** Returns whether a TCP handshake can complete, which needs both directions: one for the SYN and the other for the SYN-ACK. */
    public boolean reachable() {
        return forward.drops == 0 && backward.drops == 0;
    }

    /** Begins or ends a drop. While it lasts, established connections carry no data, new ones time out, and datagrams are lost. */
    public void drop(Direction direction, boolean begin) {
        direction.drops += begin ? 1 : -1;
        changed();
    }

    /** Begins or ends a stall. It has the effects of a drop, except that new connections are established. */
    public void stall(Direction direction, boolean begin) {
        direction.stalls += begin ? 1 : -1;
        changed();
    }

    /** Applies a change in the state of a direction to the connections and the listener of the link. */
    public void changed() {
        Set.copyOf(connections).forEach(LinkConnection::linkChanged);
        reachabilityListener.run();
    }

    /** Resets all connections of the link. */
    public void reset() {
        Set.copyOf(connections).forEach(LinkConnection::reset);
    }
}
