package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests uploads that end while requests occupy too much memory. Guards against a refusal, which promises that nothing has run, of a call whose
 * last byte has reached an upstream: its client sends it again, and it runs twice.
 */
class RelayedBodyRefusalTest {
    private static final int UPLOADS = 200;
    private static final int READ_BYTES = 16_000;
    private static final long MAX_REQUEST_BYTES = 8 << 20;
    /** A head over 4 KiB: it counts as a request that may be refused. */
    private static final String LONG_FIELD = "Cookie: " + "x".repeat(5_000) + "\r\n";

    private static String framing(boolean chunked, int bytes) {
        return chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bytes;
    }

    private static String head(String product, String id, String framing) {
        return request(product, id).replace("Content-Length: 2\r\n\r\nhi", LONG_FIELD + framing + "\r\n\r\n");
    }

    private static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }

    /** Sends a body in reads until all is sent or the balancer reads no more; returns the bytes that were sent. */
    private static int sendBody(FakeSocket client, int bytes, boolean chunked) {
        int sent = 0;
        while (sent < bytes && !client.readingSuspended && client.open()) {
            String content = "x".repeat(Math.min(READ_BYTES, bytes - sent));
            client.send(chunked ? chunk(content) : content);
            sent += content.length();
        }
        return sent;
    }

    private static long bytesInUse(DispatcherRig rig) {
        Map<String, Long> inUse = new HashMap<>();
        rig.dispatcher.bufferBudget().report(inUse::put);
        return inUse.get("requests") + inUse.get("readAhead");
    }

    /** Has clients send uploads for which no upstream is connected, until requests occupy all of their memory. */
    private static List<FakeSocket> occupyMemory(DispatcherRig rig) {
        rig.connectsAtOnce = false;
        List<FakeSocket> clients = new ArrayList<>();
        for (int i = 0; i < UPLOADS && bytesInUse(rig) <= MAX_REQUEST_BYTES; i++) {
            FakeSocket client = rig.client();
            client.send(head("mark", "waiting" + i, "Content-Length: 30000000"));
            sendBody(client, 1 << 20, false);
            clients.add(client);
        }
        return clients;
    }

    @ParameterizedTest
    @CsvSource({"once,false", "once,true", "mark,false", "mark,true"})
    void respondsWithTheUpstreamsResponseThoughMemoryIsExhaustedAtTheEndOfTheBody(String product, boolean chunked)
            throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(60);
        FakeSocket client = rig.client();
        int bytes = 180_000;
        client.send(head(product, "c1", framing(chunked, bytes)));
        sendBody(client, 80_000, chunked);
        FakeSocket upstream = rig.lastUsed();
        upstream.peerStopped = true;
        int sent = sendBody(client, 100_000, chunked);
        assertEquals(100_000, sent, "all is read ahead");
        client.send(chunked ? "0\r\n\r\n" : "");
        occupyMemory(rig);
        assertTrue(bytesInUse(rig) > MAX_REQUEST_BYTES);
        upstream.peerStopped = false;
        upstream.readByPeer(Long.MAX_VALUE);
        assertEquals(
                bytes,
                upstream.output
                        .split("\r\n\r\n", 2)[1]
                        .chars()
                        .filter(c -> c == 'x')
                        .count());
        assertEquals("", client.output);
        upstream.sendOk("done");
        expectResponse(200, client);
    }

    /** Guards against uploads that slow upstreams hold back and that occupy more than all requests may, so that others are refused. */
    @Test
    void boundsTheMemoryOfUploadsToSlowUpstreams() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(60);
        for (int i = 0; i < UPLOADS; i++) {
            FakeSocket client = rig.client();
            client.send(head("mark", "bulk" + i, "Content-Length: 30000000"));
            sendBody(client, 80_000, false);
            rig.lastUsed().peerStopped = true;
            sendBody(client, 1 << 20, false);
        }
        assertTrue(bytesInUse(rig) <= MAX_REQUEST_BYTES, bytesInUse(rig) + " bytes are held");
        FakeSocket usual = rig.client();
        usual.send(
                request("once", "usual").replace("Length: 2\r\n\r\nhi", "Length: 60000\r\n\r\n" + "x".repeat(60_000)));
        rig.lastUsed().sendOk("done");
        expectResponse(200, usual);
    }

    /** Guards against an id that is accepted again, as its upload was rejected behind a last byte that had reached an upstream. */
    @ParameterizedTest
    @ValueSource(strings = {"once", "mark"})
    void refusesAnIdAgainWhoseUploadWasRejectedBehindItsEnd(String product) throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket client = rig.client();
        client.send(head(product, "c1", framing(false, 80_000)));
        sendBody(client, 70_000, false);
        FakeSocket upstream = rig.lastUsed();
        client.send("x".repeat(10_000) + "noise");
        assertEquals(80_000, upstream.output.split("\r\n\r\n", 2)[1].length());
        expectResponse(400, client);
        FakeSocket again = rig.client();
        again.send(request(product, "c1"));
        expectResponse(409, again);
    }
}
