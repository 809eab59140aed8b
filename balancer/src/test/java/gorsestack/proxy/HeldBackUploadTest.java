package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests the time of the response to an upload that is not read on, as its upstream reads slowly or not at all. Its client may have sent the
 * last byte, and counts its time from then.
 */
class HeldBackUploadTest {
    /** The time that the client waits, less the margin for the response. */
    private static final int DEADLINE_MILLIS = 1_975;

    private static final int READ_BYTES = 16_000;

    static Stream<Arguments> uploads() {
        return Stream.of("once", "mark")
                .flatMap(product -> Stream.of(true, false)
                        .flatMap(chunked -> Stream.of(150_000, 300_000, 940_000, 3_000_000)
                                .map(bytes -> Arguments.of(product, chunked, bytes))));
    }

    private static String head(String product, boolean chunked, int bytes) {
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bytes;
        return request(product, "c1").replace("Content-Length: 2\r\n\r\nhi", framing + "\r\n\r\n");
    }

    /** Sends what the balancer reads of an upload; the rest stays in the buffers of the systems. Returns the bytes that were read. */
    private static int sendUntilHeldBack(FakeSocket client, boolean chunked, int bytes) {
        int sent = 0;
        while (sent < bytes && !client.readingSuspended && client.output.isEmpty()) {
            int next = Math.min(READ_BYTES, bytes - sent);
            String content = "x".repeat(next);
            client.send(chunked ? Integer.toHexString(next) + "\r\n" + content + "\r\n" : content);
            sent += next;
        }
        return sent;
    }

    /** Guards against a response that comes seconds after its time, or never, because the last byte of the upload was not read. */
    @ParameterizedTest
    @MethodSource("uploads")
    void respondsInTimeThoughTheUpstreamDoesNotReadTheUpload(String product, boolean chunked, int bytes)
            throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(head(product, chunked, bytes));
        client.send(chunked ? "1388\r\n" + "x".repeat(5_000) + "\r\n" : "x".repeat(5_000));
        int sent = 5_000;
        while (rig.lastUsed() == null) {
            sent += sendOnePiece(client, chunked);
        }
        rig.lastUsed().peerStopped = true;
        sent += sendUntilHeldBack(client, chunked, bytes - sent);
        rig.advance(DEADLINE_MILLIS - 100);
        assertEquals("", client.output, sent + " bytes were read");
        rig.advance(100 + 25);
        assertTrue(client.output.startsWith("HTTP/1.1 504 "), sent + " bytes were read: " + client.output);
        assertEquals(0, client.output.lastIndexOf("HTTP/1.1 "));
    }

    private static int sendOnePiece(FakeSocket client, boolean chunked) {
        String content = "x".repeat(READ_BYTES);
        client.send(chunked ? Integer.toHexString(READ_BYTES) + "\r\n" + content + "\r\n" : content);
        return READ_BYTES;
    }

    /** Guards against a time that is counted from the late read of the last byte, after the upload was held back. */
    @Test
    void countsTheTimeFromWhenTheUploadWasHeldBack() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(head("once", false, 300_000) + "x".repeat(70_000));
        FakeSocket upstream = rig.lastUsed();
        upstream.peerStopped = true;
        int sent = 70_000 + sendUntilHeldBack(client, false, 230_000);
        assertTrue(client.readingSuspended);
        rig.advance(1_500);
        upstream.peerStopped = false;
        upstream.readByPeer(Long.MAX_VALUE);
        while (sent < 300_000) {
            int next = Math.min(READ_BYTES, 300_000 - sent);
            client.send("x".repeat(next));
            sent += next;
        }
        rig.advance(DEADLINE_MILLIS - 1_500 - 30);
        assertEquals("", client.output);
        rig.advance(30 + 25);
        expectResponse(504, client);
    }

    /** Prevents an upload from being ended that cannot have been sent to its end, or whose client is the slower side. */
    @Test
    void keepsAnUploadWhoseLastByteCannotHaveBeenSent() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(head("once", false, 20_000_000) + "x".repeat(70_000));
        FakeSocket upstream = rig.lastUsed();
        upstream.peerStopped = true;
        sendUntilHeldBack(client, false, 20_000_000);
        rig.advance(DEADLINE_MILLIS + 500);
        assertEquals("", client.output, "over 8 MB are missing");
        FakeSocket slow = rig.client();
        slow.send(head("once", false, 120_000).replace("c1", "c2") + "x".repeat(70_000));
        for (int i = 0; i < 5; i++) {
            rig.advance(1_000);
            slow.send("x".repeat(10_000));
        }
        rig.lastUsed().sendOk("done");
        expectResponse(200, slow);
    }

    /** Guards against attempts for a client that has left, as its close lies behind what is not read of its upload. */
    @ParameterizedTest
    @MethodSource("uploads")
    void beginsNoAttemptWhileItCannotBeSeenWhetherTheClientIsThere(String product, boolean chunked, int bytes)
            throws IOException {
        for (boolean connects : new boolean[] {true, false}) {
            DispatcherRig rig = DispatcherRig.withUpstreams(3);
            rig.connectsAtOnce = false;
            FakeSocket client = rig.client();
            client.send(head(product, chunked, bytes));
            int sent = sendUntilHeldBack(client, chunked, bytes);
            if (sent == bytes) {
                return; // All of it was read ahead, so that the end of the client's stream would be seen.
            }
            rig.advance(110);
            if (connects) {
                rig.upstreamConnections().get(0).connect();
            }
            rig.advance(200);
            assertTrue(client.output.startsWith("HTTP/1.1 429 "), client.output);
            assertEquals(1, rig.upstreamConnections().size());
            assertEquals("", rig.upstreamConnections().get(0).output);
        }
    }
}
