package gorsestack.settings;

import java.util.concurrent.TimeUnit;

/**
 * Holds the limits on the connections that clients open to this balancer. Immutable.
 *
 * @param maxConnections the number of connections that clients may hold; less than the upstreams' half of the sockets, which also covers
 *     idle connections
 * @param spareConnections the number of connections accepted beyond {@code maxConnections} while older ones are being closed
 * @param listenBacklog the number of connections that the system may queue before they are accepted
 * @param requestHeadTimeoutNanos the longest time until the request head is complete, from connecting or from the first bytes of a later
 *     request. A client may take 2 s; an error response is due 3 s after connecting, and connections are checked every quarter of a second.
 * @param stallTimeoutNanos the longest pause within a request body
 * @param maxNanosPerBodyByte the longest time per byte of a request body; the resulting rate is a quarter of what slow legitimate
 *     clients reach
 * @param idleTimeoutNanos the time after which a connection that is idle, or has not carried a request, may be closed, as the protocol
 *     allows
 * @param firstRequestGraceNanos the time during which a new connection is not treated as idle. Clients send immediately, but on a loaded
 *     core the request is read some tens of milliseconds later.
 * @param stoppedRequestGraceNanos the pause within a request after which its connection may be closed in favour of others, when there are too
 *     many; a client that writes slowly pauses for less between two pieces
 * @param closeLingerNanos how long a connection stays open so that the client can read its error response. It is short because, in a
 *     flood of malformed requests, each request occupies a connection for this time.
 * @param evacuationIdleTimeoutNanos the idle time after which a connection is closed while clients are asked to disconnect. A client has
 *     4 s to disconnect, and most do so after a response; a connection that is closed while idle may be just about to carry a request.
 */
public record ClientLimits(
        int maxConnections,
        int spareConnections,
        int listenBacklog,
        long requestHeadTimeoutNanos,
        long stallTimeoutNanos,
        long maxNanosPerBodyByte,
        long idleTimeoutNanos,
        long firstRequestGraceNanos,
        long stoppedRequestGraceNanos,
        long closeLingerNanos,
        long evacuationIdleTimeoutNanos) {

    /** The connections subtracted from the clients' half of the sockets, as a reserve for misbehaving clients. */
    private static final int RESERVED_CONNECTIONS = 8;

    /**
     * Returns the limits for a number of usable sockets.
     *
     * @param sockets the descriptors available to clients and upstreams together
     */
    static ClientLimits of(int sockets) {
        int maxConnections = sockets / 2 - RESERVED_CONNECTIONS;
        int spareConnections = 8;
        int listenBacklog = 1024;
        long requestHeadTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(2_500);
        long stallTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(1_500);
        long maxNanosPerBodyByte = 62_500;
        long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(2_000);
        long firstRequestGraceNanos = TimeUnit.MILLISECONDS.toNanos(50);
        long stoppedRequestGraceNanos = TimeUnit.MILLISECONDS.toNanos(250);
        long closeLingerNanos = TimeUnit.MILLISECONDS.toNanos(300);
        long evacuationIdleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(2_500);
        return new ClientLimits(
                maxConnections,
                spareConnections,
                listenBacklog,
                requestHeadTimeoutNanos,
                stallTimeoutNanos,
                maxNanosPerBodyByte,
                idleTimeoutNanos,
                firstRequestGraceNanos,
                stoppedRequestGraceNanos,
                closeLingerNanos,
                evacuationIdleTimeoutNanos);
    }

    /** Returns the number of connections that may be open at the same time; none is accepted beyond it. */
    public int maxAccepted() {
        return maxConnections + spareConnections;
    }
}
