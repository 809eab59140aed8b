package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests, on real connections, that the work for a peer that sends very small pieces is bounded by its bytes and not by its pieces. */
@Timeout(60)
class SmallPiecesTest {
    private static final int CHUNKS = 3_000;
    private static final int SINGLE_BYTES = 400;
    /** The tasks for some hundred reads of 16 KiB, and for as many writes. */
    private static final int MAX_TASKS = 200;

    /** Reads what has arrived and returns the number of chunks in it. */
    private static int drain(Socket socket) {
        try {
            return SocketStreams.drain(socket, 'y');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a queue of the event loop that holds a task for each small chunk, in front of all other clients. */
    @Test
    void relaysManySmallChunksOfARequestInFewWrites() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            SocketStreams.send(
                    client,
                    "POST /once HTTP/1.1\r\nX-Correlation-Id: c1\r\nX-Time-Left: 3000m\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "11170\r\n" + "x".repeat(70_000) + "\r\n");
            rig.runUntilRequestSent(0);
            HandlerSpy upstream = rig.upstreamSpies.get(0);
            int writesBefore = upstream.sentCount;
            SocketStreams.send(client, "1\r\ny\r\n".repeat(CHUNKS) + "0\r\n\r\n");
            Socket accepted = rig.upstreams.get(0).accept();
            int[] received = new int[1];
            rig.runUntil(() -> (received[0] += drain(accepted)) == CHUNKS);
            int writes = upstream.sentCount - writesBefore;
            assertTrue(writes < MAX_TASKS, writes + " writes");
        }
    }

    /** Guards against the same where an upstream sends small chunks. */
    @Test
    void relaysManySmallChunksOfAResponseInFewWrites() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            SocketStreams.send(client, request("once", "c1"));
            Socket upstream = rig.acceptRequest(0);
            SocketStreams.send(
                    upstream,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e200\r\n" + "x".repeat(320_000) + "\r\n"
                            + "1\r\ny\r\n".repeat(CHUNKS) + "0\r\n\r\n");
            int[] received = new int[1];
            rig.runUntil(() -> (received[0] += drain(client)) == CHUNKS);
            int writes = rig.lastClientSpy().sentCount;
            assertTrue(writes < MAX_TASKS, writes + " writes");
        }
    }

    /** Guards against a task for each byte that arrives while the event loop is busy. */
    @Test
    void queuesOneTaskForBytesThatArriveOneByOne() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            HandlerSpy spy = rig.lastClientSpy();
            rig.runPending();
            SocketStreams.send(
                    client,
                    "POST /once HTTP/1.1\r\nX-Correlation-Id: c1\r\nContent-Length: " + SINGLE_BYTES + "\r\n\r\n");
            rig.runUntil(() -> spy.receivedCount > 0);
            for (int i = 0; i < SINGLE_BYTES; i++) {
                SocketStreams.send(client, "x");
                rig.awaitIoIterations();
            }
            int tasks = 0;
            while (rig.hasQueuedTask()) {
                rig.takeQueuedTask().run();
                tasks++;
            }
            assertEquals(1, tasks);
            rig.runUntilRequestSent(0);
        }
    }
}
