package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.wire.WatchMessages;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests disconnects of clients that coincide with their calls, request bodies and attempts, on real connections. */
@Timeout(60)
class ClientDisconnectOrderingTest {
    /** The client pipelines more input than is queued and disconnects. The disconnect is still detected, and no attempt is started. */
    @Test
    void detectsADisconnectAfterPipelinedCalls() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("read", "first"));
            rig.runUntil(() -> rig.clientSpy(0).receivedCount == 1);
            Socket upstream = rig.acceptRequest(0);
            Thread flood = new Thread(() -> {
                try {
                    send(client, request("read", "ahead").repeat(4_000));
                    client.close();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            flood.start();
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            flood.join();
            send(upstream, ok("1"));
            rig.advance(3_000);
            assertNull(rig.upstreams.get(0).acceptWithin(50), "no attempt is started for it");
        }
    }

    /** The client disconnects after part of a body that no upstream consumes yet. */
    @Test
    void detectsADisconnectInTheMiddleOfABody() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(
                    client,
                    request("once", "c").replace("Length: 2\r\n\r\nhi", "Length: 120000\r\n\r\n")
                            + "x".repeat(110_000));
            // The connection to the upstream is established, but the event loop has not been notified: nothing is
            // consumed yet.
            rig.runUntil(() -> rig.upstreamSpies.size() == 1);
            client.close();
            rig.awaitWithoutRunning(() -> !rig.clientSpy(0).channel.open());
            rig.runUntil(() -> rig.upstreamSpies.get(0).channel != null);
            rig.advance(3_000);
            assertEquals(1, rig.upstreamSpies.size());
            assertEquals(0, rig.upstreamSpies.get(0).sentCount, "no byte of the body is forwarded");
        }
    }

    /**
     * The client sends a complete body, larger than the buffer for a slow consumer, and disconnects. The connection of its attempt is
     * established only after that.
     */
    @Test
    void detectsADisconnectAfterALargeUnconsumedBody() throws Exception {
        for (int bytes : new int[] {300_000, 1_000_000}) {
            try (SocketRig rig = new SocketRig(1)) {
                rig.withholdsConnects = true;
                Socket client = rig.connectClient();
                Thread upload = new Thread(() -> {
                    try {
                        send(
                                client,
                                request("once", "c").replace("Length: 2\r\n\r\nhi", "Length: " + bytes + "\r\n\r\n")
                                        + "x".repeat(bytes));
                        client.close();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
                upload.start();
                rig.runUntil(() -> rig.upstreamSpies.size() == 1
                        && rig.upstreamSpies.get(0).channel != null
                        && rig.clientSpy(0).closedCount > 0);
                upload.join();
                rig.upstreamSpies.get(0).release();
                rig.advance(3_000);
                assertEquals(1, rig.upstreamSpies.size());
                assertEquals(0, rig.upstreamSpies.get(0).sentCount, "no byte of the body is forwarded");
            }
        }
    }

    /** A body that is truncated by a disconnect or by malformed input ends its attempt even if attempts may not be cancelled. */
    @Test
    void endsTheAttemptOfATruncatedBodyEvenIfAttemptsMayNotBeCancelled() throws Exception {
        for (boolean disconnects : new boolean[] {true, false}) {
            try (SocketRig rig =
                    new SocketRig(1, SocketRig.SETTINGS.replace("\"mayCancel\":true", "\"mayCancel\":false"))) {
                Socket client = rig.connectClient();
                String chunk = WatchMessages.chunk("x".repeat(70_000));
                send(
                        client,
                        request("once", "c")
                                        .replace("Content-Length: 2\r\n\r\nhi", "Transfer-Encoding: chunked\r\n\r\n")
                                + chunk);
                Socket upstream = rig.acceptRequest(0);
                if (disconnects) {
                    client.close();
                } else {
                    send(client, "no chunk\r\n");
                }
                rig.runUntil(() -> rig.upstreamSpies.get(0).closedCount > 0);
                String body = readToEnd(upstream);
                assertFalse(body.endsWith("0\r\n\r\n"), "the truncated body does not look complete");
                rig.advance(3_000);
                assertEquals(1, rig.upstreamSpies.size(), "no other attempt is started");
                if (!disconnects) {
                    assertTrue(readMessage(client).startsWith("HTTP/1.1 400 "));
                    assertEquals(1, rig.clientSpy(0).sentCount);
                }
            }
        }
    }

    /** The client's disconnect is queued in the event loop after the task that starts an attempt for it. */
    @Test
    void startsNoAttemptForAClientWhoseDisconnectIsQueued() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("read", "c"));
            rig.awaitQueuedTask();
            client.close();
            rig.awaitWithoutRunning(() -> !rig.clientSpy(0).channel.open());
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            rig.advance(3_000);
            assertNull(rig.upstreams.get(0).acceptWithin(50), "no attempt was started");
        }
    }

    /** The connection of an attempt is established after its client has closed, reset or half closed its own. */
    @Test
    void sendsNothingOnAConnectionEstablishedAfterTheClientDisconnected() throws Exception {
        for (String variant : new String[] {"closed", "reset", "half closed"}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                send(client, request("once", "c"));
                rig.runUntil(() -> rig.upstreamSpies.size() == 1);
                switch (variant) {
                    case "closed" -> client.close();
                    case "reset" -> reset(client);
                    default -> client.shutdownOutput();
                }
                rig.awaitWithoutRunning(() -> !rig.clientSpy(0).channel.open());
                rig.advance(3_000);
                rig.runUntil(() -> rig.upstreamSpies.get(0).channel != null);
                rig.advance(1_000);
                assertEquals(1, rig.upstreamSpies.size(), variant);
                assertEquals(0, rig.upstreamSpies.get(0).sentCount, variant);
            }
        }
    }
}
