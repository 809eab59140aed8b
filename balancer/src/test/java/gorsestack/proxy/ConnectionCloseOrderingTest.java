package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.HttpMessages.unknownProduct;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests closes of client connections that coincide with requests and responses, on real connections, in the critical order each time. */
@Timeout(60)
class ConnectionCloseOrderingTest {
    /** A request that the I/O thread read before the event loop decided to close the idle connection gets its response. */
    @Test
    void respondsToARequestReadBeforeItsIdleConnectionCloses() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectIdleClient();
            send(client, request("read", "crossing"));
            rig.awaitQueuedTask();
            rig.clientConnections.get(0).closeIfIdle();
            rig.runUntil(() -> rig.clientSpy(0).receivedCount == 2);
            Socket upstream = rig.upstreams.get(0).accepted.get(0);
            rig.advance(20);
            rig.runUntil(() -> rig.upstreamSpies.get(rig.upstreamSpies.size() - 1).sentCount >= 1);
            if (rig.upstreamSpies.size() > 1) {
                upstream = rig.upstreams.get(0).accept();
            }
            readMessage(upstream);
            send(upstream, ok("2"));
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 2);
            assertTrue(readMessage(client).endsWith("2"));
        }
    }

    /** A request that arrives after the close is not forwarded. Its client sees the end of the stream, not a reset, and sends it again. */
    @Test
    void forwardsNothingReceivedAfterTheConnectionWasClosed() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectIdleClient();
            rig.clientConnections.get(0).closeIfIdle();
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            send(client, request("once", "late"));
            assertEquals("", readToEnd(client));
            client.close();
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 0);
            rig.advance(1_000);
            assertEquals(1, rig.upstreams.get(0).accepted.size());
            assertNull(rig.upstreams.get(0).acceptWithin(50), "nothing was forwarded");
        }
    }

    /**
     * A request that was read gets its response even if its idle connection is closed at shutdown ("leave"), by an evacuation ("away") or
     * by the timeout for a first request ("never used").
     */
    @Test
    void respondsToARequestReadBeforeShutdownEvacuationOrFirstRequestTimeout() throws Exception {
        for (String variant : new String[] {"leave", "away", "never used"}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = variant.equals("never used") ? rig.connectClient() : rig.connectIdleClient();
                send(client, request("read", "crossing"));
                rig.awaitQueuedTask();
                Runnable read = rig.takeQueuedTask();
                if (variant.equals("leave")) {
                    rig.dispatcher.clients().closeAll();
                } else {
                    rig.dispatcher.evacuate(variant.equals("away"));
                    rig.advance(4_000);
                }
                rig.runPending();
                read.run();
                rig.advance(3_000);
                rig.runUntil(() -> rig.clientSpy(0).sentCount == (variant.equals("never used") ? 1 : 2));
                assertTrue(readMessage(client).startsWith("HTTP/1.1 "), variant);
            }
        }
    }

    /**
     * A large response breaks off before the I/O thread has written its beginning. The part that was received is written before the
     * connection ends. Guards against lost requests (incident 0016): the end of a connection overtook the bytes that were queued to be
     * written on it.
     */
    @Test
    void writesTheReceivedPartOfALargeResponseBeforeItsConnectionEnds() throws Exception {
        for (String variant : new String[] {"reset", "end"}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                rig.connectClient();
                send(client, request("once", "large"));
                Socket upstream = rig.acceptRequest(0);
                HandlerSpy attempt = rig.upstreamSpies.get(0);
                send(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(8 << 10));
                rig.awaitWithoutRunning(attempt.channel::hasUnhandledInput);
                if (variant.equals("reset")) {
                    reset(upstream);
                } else {
                    upstream.close();
                }
                rig.awaitWithoutRunning(() -> !attempt.channel.open());
                rig.awaitIoIterations();
                ThreadPause ioThread = rig.pauseInClose(rig.clientSpy(1));
                rig.runUntil(() -> attempt.closedCount > 0);
                ioThread.resume();
                String received = readToEnd(client);
                assertTrue(
                        received.startsWith("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n"),
                        variant + ": " + received);
                assertTrue(received.length() < 100_000, "the response does not look complete");
            }
        }
    }

    /**
     * A connection that was to be closed as idle, but on which a request had just arrived, stays open. Guards against a fault seen with a
     * delayed I/O thread: once the timeout for reading the last response had passed, the connection was closed during the response that
     * was then being written.
     */
    @Test
    void closesNoConnectionDuringALaterResponse() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectIdleClient();
            HandlerSpy spy = rig.clientSpy(0);
            send(client, unknownProduct("crossing"));
            rig.awaitQueuedTask();
            rig.clientConnections.get(0).closeIfIdle();
            rig.runUntil(() -> spy.sentCount == 2);
            assertTrue(readMessage(client).startsWith("HTTP/1.1 404 "));
            rig.advance(rig.limits.upstream().streamStallTimeoutNanos() / SocketRig.MS - 1);
            send(client, unknownProduct("later"));
            // Any queued task would not do, as a watch has started meanwhile.
            rig.awaitWithoutRunning(spy.channel::hasUnhandledInput);
            ThreadPause ioThread = rig.pauseIoThread();
            rig.runUntil(() -> spy.receivedCount == 3);
            assertTrue(spy.channel.unsent() > 0, "the response is being written");
            rig.advance(2);
            ioThread.resume();
            assertTrue(
                    readMessage(client).startsWith("HTTP/1.1 404 "), "the connection was closed during its response");
        }
    }

    /** A client pipelines a request just as its last response is written. Requests that were read get responses before the close. */
    @Test
    void respondsToCallsPipelinedAsTheLastResponseIsSent() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            String unknownRequest = unknownProduct("n");
            send(client, unknownRequest + unknownRequest);
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 2);
            send(client, unknownRequest);
            rig.awaitWithoutRunning(rig.clientSpy(0).channel::hasUnhandledInput);
            ThreadPause ioThread = rig.pauseInRead(client, unknownRequest);
            rig.dispatcher.clients().closeAll();
            rig.runUntil(() -> rig.clientSpy(0).channel.unsent() > 0);
            ioThread.resume();
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 4);
            for (int i = 0; i < 4; i++) {
                assertTrue(readMessage(client).startsWith("HTTP/1.1 404 "), "response " + i);
            }
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            assertEquals("", readToEnd(client));
        }
    }

    /**
     * A close with unread input resets the connection and, on some systems, discards the last response. As the JDK ends the stream before
     * it closes, this test would see the response in any case; so it checks that what the client still writes causes no reset.
     */
    @Test
    void doesNotResetAClientThatStillSendsAfterItsLastResponse() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, "GET /nothing HTTP/1.1\r\nX-Correlation-Id: c\r\nConnection: close\r\n\r\n");
            rig.awaitQueuedTask();
            rig.clientSpy(0).channel.suspendReading(true);
            rig.awaitIoIterations();
            send(client, "y".repeat(30_000)); // remains unread until the connection closes
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            String output = readToEnd(client);
            assertTrue(output.startsWith("HTTP/1.1 4"), output);
            assertFalse(output.endsWith("<reset>"), output);
            for (int i = 0; i < 3; i++) {
                send(client, "z".repeat(5_000)); // causes no reset: the input is read and discarded, up to a limit
                rig.awaitIoIterations();
            }
        }
    }

    /** A client sends 60 MB at full speed, after an error or before a response. Only a little is read before the connection is closed. */
    @Test
    void limitsTheInputThatIsDiscarded() throws Exception {
        for (boolean beforeResponse : new boolean[] {false, true}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                send(client, beforeResponse ? request("once", "c") : "NONSENSE\r\n\r\n");
                rig.runUntil(() -> rig.clientSpy(0).receivedCount > 0);
                AtomicInteger writeFailures = new AtomicInteger();
                Thread flood = new Thread(() -> {
                    try {
                        client.getOutputStream()
                                .write(request("read", "more")
                                        .repeat(60_000_000 / 60)
                                        .getBytes(StandardCharsets.US_ASCII));
                    } catch (IOException e) {
                        writeFailures.incrementAndGet();
                    }
                });
                flood.start();
                rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
                rig.advance(400); // as long as a connection lingers after its last response
                while (flood.isAlive()) {
                    rig.runPending();
                    flood.join(1);
                }
                assertEquals(1, writeFailures.get());
            }
        }
    }

    /** Returns whether bytes remain unsent over many iterations of the I/O thread, as the system accepts no more of them. */
    private static boolean writesStall(SocketRig rig) throws Exception {
        for (int i = 0; i < 20 && rig.clientSpy(0).channel.unsent() > 0; i++) {
            rig.awaitIoIterations();
        }
        return rig.clientSpy(0).channel.unsent() > 0;
    }

    /** A client that never reads its responses is idle between calls. An orderly close alone would leave its connection open forever. */
    @Test
    void closesTheConnectionOfAClientThatNeverReadsItsResponses() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = new Socket();
            client.setReceiveBufferSize(4 << 10);
            client.connect(rig.address);
            rig.runUntil(() -> rig.clientSpies.size() == 1 && rig.clientSpy(0).channel != null);
            for (int i = 0; !writesStall(rig); i++) {
                send(client, request("read", "c" + i));
                int receivedBefore = rig.clientSpy(0).receivedCount;
                rig.runUntil(() -> rig.clientSpy(0).receivedCount > receivedBefore);
                int connectionsBefore = rig.upstreamSpies.size();
                rig.runUntil(() -> rig.upstreamSpies.get(connectionsBefore - 1).sentCount > 0);
                Socket upstream = rig.upstreams.get(0).accept();
                readMessage(upstream);
                int responsesBefore = rig.upstreamSpies.get(connectionsBefore - 1).receivedCount;
                send(upstream, ok("b".repeat(60_000)).replace("OK\r\n", "OK\r\nConnection: close\r\n"));
                rig.runUntil(() -> rig.upstreamSpies.get(connectionsBefore - 1).closedCount > 0
                        && rig.upstreamSpies.get(connectionsBefore - 1).receivedCount > responsesBefore);
            }
            rig.clientConnections.get(0).closeIfIdle();
            rig.advance(rig.limits.upstream().streamStallTimeoutNanos() / SocketRig.MS + 100);
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 0);
            client.close();
        }
    }

    /** Guards against memory that grows with each connection that was closed, as a timer refers to it for seconds. */
    @Test
    void keepsNoTimerOfAConnectionThatHasEnded() throws Exception {
        for (String sent :
                new String[] {"BAD\r\n\r\n", "GET /unknown HTTP/1.1\r\nX-Correlation-Id: 1\r\nConnection: close\r\n\r\n"
                }) {
            try (SocketRig rig = new SocketRig(1)) {
                int before = rig.timerCount();
                Socket client = rig.connectClient();
                send(client, sent);
                rig.runUntil(() -> rig.lastClientSpy().closedCount > 0);
                assertTrue(readToEnd(client).startsWith("HTTP/1.1 4"), sent);
                client.close();
                rig.runUntil(() -> rig.network.accepted() == 0);
                rig.runUntil(() -> rig.timerCount() == before);
            }
        }
    }
}
