package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.wire.ConnectionHandler;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the streaming of request and response bodies, and the limits of what is buffered. */
class LargeBodyTest {
    /** The time after which a peer that takes nothing of a body has stopped. */
    private static final int STALL_TIMEOUT_MILLIS = 5_000;

    /** Returns the head of a request with a body of {@code length} bytes, and the first bytes of the body. */
    private static String largeRequest(String id, int length, int firstBytes) {
        return request("once", id).replace("Length: 2\r\n\r\nhi", "Length: " + length + "\r\n\r\n")
                + "x".repeat(firstBytes);
    }

    /** Prevents many unconsumed bodies, each within its own limit, from exceeding the heap together. */
    @Test
    void limitsReadAheadOverManyUnconsumedBodies() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        int readAheadBytes = 0;
        for (int i = 0; i < 40; i++) {
            FakeSocket client = rig.client();
            client.send(largeRequest("c" + i, 1_530_000, 70_000));
            for (int more = 0; more < 60 && !client.readingSuspended; more++) {
                client.send("x".repeat(16_000));
                readAheadBytes += 16_000;
            }
        }
        assertTrue(readAheadBytes > 2 << 20, "some bodies are read completely: " + readAheadBytes);
        // Half of the shared budget, one body that exceeds it, and for each other body its minimum and one more read.
        int limit = (3 << 20) + (1 << 20) + 36 * ((64 << 10) + 16_000);
        assertTrue(readAheadBytes <= limit, readAheadBytes + " of " + limit);
    }

    /** Covers a body larger than its buffer, an upstream slower than the client, and a retry whose body is no longer buffered. */
    @Test
    void streamsALargeRequestBody() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(largeRequest("c1", 1_530_000, 70_000));
        assertFalse(client.readingSuspended, "reading continues until the buffer is full, so a disconnect is detected");
        client.send("x".repeat(970_000));
        assertFalse(client.readingSuspended);
        client.send("x".repeat(300_000));
        assertTrue(client.readingSuspended, "nothing more is read until the body is consumed");
        rig.upstreamConnections().get(0).queueDisconnect();
        rig.runPending();
        FakeSocket retry = rig.lastUsed();
        assertEquals(2, rig.upstreamConnections().size(), "the buffered body is available to the retry");
        retry.connect();
        assertFalse(client.readingSuspended);
        assertTrue(
                retry.output.contains("X-Time-Left: 2000000u\r\nContent-Length: 1530000\r\n\r\nxxx"),
                retry.output.substring(0, 150));
        retry.unsentBytes = 100_000;
        retry.stalled = true;
        client.send("x".repeat(30_000));
        client.send("x".repeat(10_000));
        assertFalse(client.readingSuspended);
        client.send("x".repeat(60_000));
        assertTrue(client.readingSuspended);
        int before = retry.output.length();
        retry.unsentBytes = 0;
        retry.stalled = false;
        rig.execute(retry.handler()::sent);
        rig.runPending();
        assertFalse(client.readingSuspended);
        assertEquals(before + 70_000, retry.output.length());
        for (int i = 0; i < 6; i++) {
            rig.advance(1_000); // longer than the client timeout, but the body makes progress
            client.send("x".repeat(15_000));
        }
        assertTrue(retry.output.endsWith("x".repeat(1_530_000)));
        rig.advance(1_500);
        retry.sendOk("done");
        assertTrue(client.output.endsWith("done"), client.output);
        expectResponse(200, client);
        rig.connectsAtOnce = true;
        client.send(largeRequest("c2", 200_000, 80_000) + "x".repeat(10_000));
        client.send("x".repeat(10_000));
        int connectionsBefore = rig.upstreamConnections().size();
        rig.lastUsed().queueDisconnect();
        rig.runPending();
        assertEquals(connectionsBefore, rig.upstreamConnections().size());
        expectResponse(429, client); // not executed, as it is incomplete; no retry, as it is no longer buffered
        client.send("x".repeat(100_000));
        rig.advance(500);
        assertFalse(client.open());
    }

    /** Guards against an upload that is ended at once because its head, written just before, still waits to be sent. */
    @Test
    void keepsAnUploadWhoseHeadStillWaits() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(largeRequest("c1", 400_000, 70_000));
        FakeSocket upstream = rig.lastUsed();
        upstream.peerStopped = true;
        upstream.connect();
        rig.advance(STALL_TIMEOUT_MILLIS / 10);
        assertTrue(upstream.open());
        assertEquals("", client.output);
    }

    /** Guards against an upload that waits for good for an upstream that has stopped reading, where it is too long to have a deadline. */
    @Test
    void endsAnUploadWhoseUpstreamHasStoppedReading() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(largeRequest("c1", 20_000_000, 70_000));
        FakeSocket upstream = rig.lastUsed();
        upstream.peerStopped = true;
        while (!client.readingSuspended) {
            client.send("x".repeat(15_000));
        }
        rig.advance(STALL_TIMEOUT_MILLIS - 300);
        upstream.readByPeer(20_000);
        rig.advance(STALL_TIMEOUT_MILLIS - 300);
        assertTrue(upstream.open(), "the upstream reads slowly");
        assertEquals("", client.output);
        rig.advance(1_500);
        assertFalse(upstream.open(), "the upstream has stopped");
        // The upstream does not have the last byte, so the request has not run.
        expectResponse(429, client);
    }

    @Test
    void timesOutALargeRequestBodyThatStalls() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket slowClient = rig.client();
        slowClient.send(largeRequest("c3", 200_000, 80_000));
        FakeSocket partial = rig.lastUsed();
        rig.advance(2_000);
        expectResponse(408, slowClient);
        assertFalse(partial.open(), "no incomplete request stays open at the upstream");
    }

    /** Covers a response larger than its buffer, a slower client, and a truncated response that must not look complete. */
    @Test
    void streamsALargeResponse() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket upstream = rig.lastUsed();
        upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + "y".repeat(10_000));
        assertTrue(
                client.output.endsWith("Content-Length: 400000\r\n\r\n" + "y".repeat(10_000)),
                client.output.substring(0, 99));
        client.unsentBytes = 100_000;
        upstream.send("y".repeat(100_000));
        assertTrue(upstream.readingSuspended);
        rig.advance(3_000);
        client.unsentBytes = 0;
        rig.execute(client.handler()::sent);
        rig.runPending();
        assertFalse(upstream.readingSuspended);
        rig.advance(2_000); // a slow response, beyond the deadline
        upstream.send("y".repeat(290_000));
        assertTrue(client.output.endsWith("\r\n\r\n" + "y".repeat(400_000)));
        expectResponse(200, client);
        rig.advance(20);
        client.send(request("read", "c2"));
        assertEquals(1, rig.upstreamConnections().size(), "both connections are reused");
        upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n46000\r\n" + "z".repeat(0x46000) + "\r\n");
        assertTrue(
                client.output.contains("Transfer-Encoding: chunked\r\n") && client.output.endsWith("zz\r\n"),
                client.output.substring(0, 99));
        upstream.queueDisconnect();
        rig.runPending();
        assertFalse(client.open());
        assertFalse(client.output.endsWith("0\r\n\r\n"), "the response does not look complete to the client");
    }

    /** A response without a length or chunks ends with its connection; it is forwarded to the client in chunks. */
    @Test
    void streamsALargeResponseThatEndsWithItsConnection() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c3"));
        rig.lastUsed().send("HTTP/1.1 200 OK\r\n\r\n" + "z".repeat(0x46000));
        ConnectionHandler handler = rig.lastUsed().handler();
        rig.execute(handler::ended);
        rig.lastUsed().queueDisconnect();
        rig.runPending();
        assertTrue(client.output.endsWith("zz\r\n0\r\n\r\n"), "the end of the connection completes the response");
    }

    /** Prevents a response from being forwarded in part before it breaks off, when another upstream could have served the call. */
    @Test
    void buffersAMediumResponseUntilItIsComplete() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket client = rig.client();
        for (int i = 0; i < 12; i++) { // earns the budget of one retry
            client.send(request("read", "e" + i));
            rig.lastUsed().sendOk("body");
            expectResponse(200, client);
            rig.advance(20);
        }
        client.send(request("read", "c1"));
        FakeSocket broken = rig.lastUsed();
        broken.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "y".repeat(100_000));
        assertEquals("", client.output, "nothing is forwarded before it is complete");
        broken.queueDisconnect();
        rig.runPending();
        assertTrue(rig.lastUsed() != broken, "the call is retried elsewhere");
        rig.lastUsed().send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "z".repeat(200_000));
        assertTrue(client.output.endsWith("\r\n\r\n" + "z".repeat(200_000)));
        expectResponse(200, client);
        FakeSocket slow = rig.client();
        slow.send(request("read", "c2"));
        rig.lastUsed().send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "y".repeat(100_000));
        rig.advance(300);
        assertTrue(slow.output.endsWith("y".repeat(100_000)), "a slow response is forwarded as it arrives");
    }

    /**
     * Guards against an upload that runs without its beginning: an upstream turns it away before its end, and more of it arrives while the
     * connection to the next upstream is being established.
     */
    @Test
    void sendsAnUploadThatWasTurnedAwayFromItsFirstByteToTheNextUpstream() throws IOException {
        for (String framing : List.of("Content-Length: 72000", "Transfer-Encoding: chunked")) {
            for (String refusal : List.of("503 X", "504 X", "503 X\r\nConnection: close")) {
                for (int piecesBeforeNextConnection = 0;
                        piecesBeforeNextConnection <= 3;
                        piecesBeforeNextConnection++) {
                    assertResentFromFirstByte(framing, refusal, piecesBeforeNextConnection);
                }
            }
        }
    }

    private static void assertResentFromFirstByte(String framing, String refusal, int piecesBeforeNextConnection)
            throws IOException {
        boolean chunked = framing.endsWith("chunked");
        String body = numberedBody(72_000);
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(request("once", "c1").replace("Content-Length: 2\r\n\r\nhi", framing + "\r\n\r\n")
                + piece(body, 0, 66_000, chunked));
        FakeSocket first = rig.lastUsed();
        first.connect();
        first.send("HTTP/1.1 " + refusal + "\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        FakeSocket next = rig.lastUsed();
        assertTrue(next != first, "the upload is retried at another upstream");
        int sent = 66_000;
        for (int i = 0; i < piecesBeforeNextConnection; i++) {
            client.send(piece(body, sent, sent + 500, chunked));
            sent += 500;
        }
        next.connect();
        client.send(piece(body, sent, body.length(), chunked) + (chunked ? "0\r\n\r\n" : ""));
        String received = next.output.substring(next.output.indexOf("\r\n\r\n") + 4);
        assertEquals(body, chunked ? withoutChunkFraming(received) : received, framing + ", " + refusal);
        next.sendOk("done");
        expectResponse(200, client);
    }

    /**
     * Guards against a call that is never forwarded nor answered: the last piece of the body before it made the client's connection pause,
     * and nothing resumed it.
     */
    @Test
    void readsTheNextCallAfterAnUploadWhoseLastPiecePausedIt() throws IOException {
        for (String framing : List.of("Content-Length: 150000", "Transfer-Encoding: chunked")) {
            boolean chunked = framing.endsWith("chunked");
            String body = numberedBody(150_000);
            String lastPiece = piece(body, 70_000, body.length(), chunked) + (chunked ? "0\r\n\r\n" : "");
            DispatcherRig rig = DispatcherRig.withUpstreams(1);
            FakeSocket client = rig.client();
            client.send(request("once", "c1").replace("Content-Length: 2\r\n\r\nhi", framing + "\r\n\r\n")
                    + piece(body, 0, 70_000, chunked));
            FakeSocket upstream = rig.lastUsed();
            upstream.unsentBytes = 100_000;
            upstream.stalled = true;
            client.send(lastPiece);
            upstream.unsentBytes = 0;
            upstream.stalled = false;
            for (int writes = chunked ? 2 : 1; writes > 0; writes--) {
                rig.execute(upstream.handler()::sent);
            }
            rig.runPending();
            upstream.sendOk("done");
            expectResponse(200, client);
            rig.advance(20);
            client.send(request("read", "c2"));
            assertTrue(rig.lastUsed().output.contains("X-Correlation-Id: c2\r\n"), "the next call is forwarded");
            rig.lastUsed().sendOk("found");
            expectResponse(200, client);
        }
    }

    /** Guards against a pooled connection that is never read again: the last piece of a large response made it pause. */
    @Test
    void readsTheNextResponseAfterOneWhoseLastPiecePausedIt() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket upstream = rig.lastUsed();
        upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + "y".repeat(300_000));
        client.unsentBytes = 100_000;
        upstream.send("y".repeat(100_000));
        assertTrue(client.output.endsWith("\r\n\r\n" + "y".repeat(400_000)));
        rig.advance(20);
        FakeSocket other = rig.client();
        other.send(request("read", "c2"));
        assertEquals(upstream, rig.lastUsed(), "the connection is reused");
        assertFalse(upstream.readingSuspended, "the next response on the connection is read");
    }

    /** Guards against a client whose disconnect is not seen, as its connection is not read behind the end of its body. */
    @Test
    void readsOnBehindAnUploadThatSuspendedReading() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(largeRequest("c1", 400_000, 70_000));
        FakeSocket upstream = rig.lastUsed();
        upstream.unsentBytes = 100_000;
        upstream.stalled = true;
        while (!client.readingSuspended) {
            client.send("x".repeat(15_000));
        }
        client.send("x".repeat(400_000 - 70_000 - 90_000) + request("read", "c2"));
        upstream.unsentBytes = 0;
        upstream.stalled = false;
        rig.execute(upstream.handler()::sent);
        rig.runPending();
        assertTrue(upstream.output.endsWith("\r\n\r\n" + "x".repeat(400_000)), "the body is complete");
        assertFalse(client.readingSuspended);
    }

    /** Returns a body in which each place can be told from every other. */
    private static String numberedBody(int length) {
        StringBuilder body = new StringBuilder(length);
        for (int i = 0; body.length() < length; i++) {
            body.append(i).append(',');
        }
        return body.substring(0, length);
    }

    /** Returns a part of a body as it is sent: in one chunk, or as it is. */
    private static String piece(String body, int begin, int end, boolean chunked) {
        String part = body.substring(begin, end);
        return chunked ? Integer.toHexString(end - begin) + "\r\n" + part + "\r\n" : part;
    }

    /** Returns the content of a chunked body, which must end with its last chunk. */
    private static String withoutChunkFraming(String chunked) {
        StringBuilder content = new StringBuilder();
        int position = 0;
        while (true) {
            int lineEnd = chunked.indexOf("\r\n", position);
            int size = Integer.parseInt(chunked.substring(position, lineEnd), 16);
            if (size == 0) {
                assertEquals(lineEnd + 4, chunked.length(), "nothing follows the last chunk");
                return content.toString();
            }
            content.append(chunked, lineEnd + 2, lineEnd + 2 + size);
            position = lineEnd + 4 + size;
        }
    }
}
