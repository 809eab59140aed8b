package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Guards against messages of replaced processes that are accepted, and against peers of the previous version that are not. */
class PeerTableTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_000 * SECOND;
    private final PeerTable peers = new PeerTable(5, 10 * SECOND);

    private static PeerMessage message(long incarnation, long uptime) {
        return new PeerMessage(PeerMessage.Kind.HELLO, incarnation, uptime, ByteBuffer.allocate(0));
    }

    @Test
    void messageWithLowerIncarnationIsStale() {
        peers.record(NOW, 1, message(7, SECOND));
        assertEquals(7, peers.highestIncarnation(1));
        assertTrue(peers.isStale(1, message(6, SECOND)));
        assertFalse(peers.isStale(1, message(7, SECOND)));
        assertFalse(peers.isStale(2, message(1, SECOND)));
    }

    @Test
    void respondsToStaleProcessOncePerSecondUnlessItRequestsState() {
        assertTrue(peers.takeStaleResponsePermit(NOW, 1, false));
        assertFalse(peers.takeStaleResponsePermit(NOW + SECOND, 1, false));
        assertTrue(peers.takeStaleResponsePermit(NOW + SECOND, 1, true));
        assertTrue(peers.takeStaleResponsePermit(NOW + 3 * SECOND, 1, false));
    }

    @Test
    void rejectsHeaderlessMessagesWhilePeerSendsHeaders() {
        assertTrue(peers.acceptsHeaderless(NOW, 1));
        peers.record(NOW, 1, message(7, SECOND));
        assertTrue(peers.supportsHeader(NOW, 1));
        assertFalse(peers.acceptsHeaderless(NOW + 9 * SECOND, 1));
        assertTrue(peers.supportsHeader(NOW + 9 * SECOND, 1));
        assertTrue(peers.acceptsHeaderless(NOW + 10 * SECOND, 1));
        assertFalse(peers.supportsHeader(NOW + 10 * SECOND, 1), "the peer runs an earlier version again");
    }

    @Test
    void sendsHelloOncePerMinute() {
        assertTrue(peers.takeHelloPermit(NOW, 1));
        assertFalse(peers.takeHelloPermit(NOW + 60 * SECOND, 1));
        assertTrue(peers.takeHelloPermit(NOW + 61 * SECOND, 1));
    }

    @Test
    void recentlyStartedFractionIsUnknownWithFewerThanThreePeers() {
        peers.record(NOW, 0, message(7, SECOND));
        peers.record(NOW, 1, message(7, SECOND));
        assertTrue(Double.isNaN(peers.recentlyStartedFraction(NOW)));
        peers.record(NOW, 2, message(7, 100 * SECOND));
        assertEquals(2 / 3.0, peers.recentlyStartedFraction(NOW), 1e-9);
        assertTrue(Double.isNaN(peers.recentlyStartedFraction(NOW + 10 * SECOND)), "no peer was seen recently");
    }
}
