package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;

import java.io.IOException;

/** A call whose client reads its response at the speed of the slowest reader, from an upstream that sends as fast as it is read. */
final class SlowExchange {
    /** The time between two calls of {@link #tick}. */
    static final int TICK_MILLIS = 50;

    private static final int BYTES_PER_TICK = 64 * TICK_MILLIS;
    private static final int READ_BYTES = 16_000;
    /** What the systems on both sides hold of a response. */
    private static final int SYSTEM_BUFFER_BYTES = 200_000;

    final FakeSocket client;
    /** The bytes of the body that the client has read. */
    long receivedBytes;

    private final FakeSocket upstream;
    private final boolean lengthKnown;
    private int unsentBytes;
    private boolean ended;

    SlowExchange(DispatcherRig rig, String id, int bodyBytes, boolean lengthKnown) throws IOException {
        this.lengthKnown = lengthKnown;
        unsentBytes = bodyBytes;
        client = rig.client();
        client.peerStopped = true;
        client.systemBufferBytes = SYSTEM_BUFFER_BYTES;
        client.send(request("read", id));
        upstream = rig.lastUsed();
        upstream.send("HTTP/1.1 200 OK\r\n" + (lengthKnown ? "Content-Length: " + bodyBytes : "Connection: close")
                + "\r\n\r\n");
    }

    /** Sends what the balancer reads of the response, and has the client read for the time of one tick. */
    void tick() {
        while (!ended && upstream.open() && !upstream.readingSuspended) {
            int next = Math.min(READ_BYTES, unsentBytes);
            unsentBytes -= next;
            upstream.send("y".repeat(next));
            endIfSent();
        }
        client.readByPeer(BYTES_PER_TICK);
        receivedBytes += client.takeOutput().chars().filter(c -> c == 'y').count();
    }

    private void endIfSent() {
        ended = unsentBytes == 0;
        if (ended && !lengthKnown) {
            upstream.queueDisconnect();
            upstream.handler().ended();
        }
    }
}
