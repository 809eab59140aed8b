package gorsestack.wire;

import java.util.ArrayDeque;
import org.apache.mina.core.session.IoSession;

/**
 * Connections whose output is shut down and that only wait for their client to close, oldest first. Shared by all connections of
 * {@link MinaNetwork}; used on the event loop's thread only.
 */
final class LingeringSessions {
    private final ArrayDeque<IoSession> oldestFirst = new ArrayDeque<>();
    private final BoundedAcceptor acceptor;
    /** Lingering connections are closed early once fewer than this many connections remain below the acceptor's limit. */
    private final int spareConnections;

    LingeringSessions(BoundedAcceptor acceptor, int spareConnections) {
        this.acceptor = acceptor;
        this.spareConnections = spareConnections;
    }

    void add(IoSession session) {
        oldestFirst.add(session);
    }

    void remove(IoSession session) {
        oldestFirst.remove(session);
    }

    /**
     * Closes the oldest lingering connections when the acceptor is near its limit. Without this, connections that have had their last
     * response would keep out clients that have a request.
     */
    void closeExcess() {
        for (int excess = acceptor.openConnections() - (acceptor.maxConnections() - spareConnections);
                excess > 0 && !oldestFirst.isEmpty();
                excess--) {
            oldestFirst.poll().closeNow();
        }
    }
}
