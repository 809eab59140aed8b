package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.HttpMessages.unknownProduct;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.wire.ClosePriority;
import gorsestack.wire.WatchMessages;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests input that has arrived at a socket and has not been read when either side ends the connection. */
@Timeout(60)
class UnreadInputTest {
    private static final String NOT_FOUND = unknownProduct("crossing");
    /** The pause after which a request has stopped. */
    private static final int STOPPED_MILLIS = 250;

    /** The request is in the system's buffer, and no thread has read it, when its connection is closed as idle. */
    @Test
    void respondsToAnUnreadRequestWhenItsIdleConnectionIsClosed() throws Exception {
        for (boolean afterAResponse : new boolean[] {false, true}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                if (afterAResponse) {
                    send(client, NOT_FOUND);
                    rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
                    readMessage(client);
                }
                ThreadPause ioThread = rig.pauseIoThread();
                send(client, NOT_FOUND);
                rig.clientConnections.get(0).closeIfIdle();
                ioThread.resume();
                int responses = afterAResponse ? 2 : 1;
                rig.runUntil(() -> rig.clientSpy(0).sentCount == responses || rig.clientSpy(0).closedCount > 0);
                assertTrue(
                        readMessage(client).startsWith("HTTP/1.1 404 "),
                        afterAResponse ? "an idle connection" : "a new connection");
            }
        }
    }

    /**
     * The rest of a request is in the system's buffer, as this process was held up, when its connection is to give way because the request
     * has stopped. One whose rest has not arrived is rejected.
     */
    @Test
    void respondsToARequestWhoseRestIsUnreadWhenItIsTakenForStopped() throws Exception {
        for (boolean restArrives : new boolean[] {true, false}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                send(client, NOT_FOUND.substring(0, 20));
                rig.runUntil(() -> rig.clientSpy(0).receivedCount == 1);
                ThreadPause ioThread = rig.pauseIoThread();
                if (restArrives) {
                    send(client, NOT_FOUND.substring(20));
                }
                rig.advance(STOPPED_MILLIS);
                assertEquals(ClosePriority.STOPPED, rig.clientConnections.get(0).closePriority());
                rig.clientConnections.get(0).evict();
                ioThread.resume();
                rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
                String expected = restArrives ? "HTTP/1.1 404 " : "HTTP/1.1 503 ";
                assertTrue(readMessage(client).startsWith(expected), expected);
            }
        }
    }

    /** A request that arrives after an unused connection was closed is not read, so its client may send it again. */
    @Test
    void readsNothingAfterAnUnusedConnectionIsClosed() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            rig.clientConnections.get(0).closeIfIdle();
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 0);
            send(client, request("once", "late"));
            assertTrue(readToEnd(client).matches("(<reset>)?"));
            rig.runPending();
            assertEquals(0, rig.clientSpy(0).receivedCount);
            assertNull(rig.upstreams.get(0).acceptWithin(50), "nothing was forwarded");
        }
    }

    /** An upstream responds and resets its connection. The response that was read before the reset is forwarded. */
    @Test
    void forwardsACompleteResponseReadTogetherWithAReset() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("once", "answered"));
            rig.runUntil(() -> rig.upstreamSpies.stream().anyMatch(spy -> spy.sentCount > 0));
            Socket upstream = rig.upstreams.get(0).accept();
            readMessage(upstream);
            ThreadPause ioThread = rig.pauseIoThread();
            send(upstream, ok("whole"));
            reset(upstream);
            ioThread.resume();
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            assertTrue(readMessage(client).startsWith("HTTP/1.1 200 "));
        }
    }

    /** A response without a length that was read together with a reset is incomplete. */
    @Test
    void failsACallWhoseResponseWithoutLengthWasReadTogetherWithAReset() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("once", "cut"));
            rig.runUntil(() -> rig.upstreamSpies.stream().anyMatch(spy -> spy.sentCount > 0));
            Socket upstream = rig.upstreams.get(0).accept();
            readMessage(upstream);
            ThreadPause ioThread = rig.pauseIoThread();
            send(upstream, "HTTP/1.1 200 OK\r\n\r\nnot all of it");
            reset(upstream);
            ioThread.resume();
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            assertTrue(readMessage(client).startsWith("HTTP/1.1 502 "));
        }
    }

    /** A line of the watch that is followed by a reset has been received, so its drain takes effect. */
    @Test
    void appliesAWatchLineReadTogetherWithAReset() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket watch = rig.acceptWatch();
            ThreadPause ioThread = rig.pauseIoThread();
            String line = "{\"index\":42,\"endpoints\":[" + rig.endpoint(0, "terminating") + "]}\n";
            send(watch, WatchMessages.chunk(line));
            reset(watch);
            ioThread.resume();
            rig.runUntil(() -> rig.watchSpies.get(0).closedCount > 0);
            Socket client = rig.connectClient();
            send(client, request("once", "drained"));
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            String response = readMessage(client);
            assertTrue(response.startsWith("HTTP/1.1 429 "), "no upstream is available for the call: " + response);
        }
    }

    /** A client sends its call and disconnects at once. The disconnect is detected together with the call, and no attempt is started. */
    @Test
    void startsNoAttemptForAClientThatDisconnectedRightAfterItsCall() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            ThreadPause ioThread = rig.pauseIoThread();
            send(client, request("once", "left"));
            client.close();
            ioThread.resume();
            rig.awaitQueuedTask();
            rig.takeQueuedTask().run(); // runs only the task of the call, even if the disconnect is queued by now
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            assertNull(rig.upstreams.get(0).acceptWithin(50), "no attempt was started");
        }
    }
}
