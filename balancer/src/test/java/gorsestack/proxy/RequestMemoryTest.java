package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the bound on the memory that all requests of clients occupy together. Guards against some hundred clients that stop within a request,
 * each below its own limit, and use up the heap together.
 */
class RequestMemoryTest {
    private static final int CLIENTS = 300;
    /** The bound for all requests, and one read of each client beside it. */
    private static final int MAX_HELD_BYTES = (8 << 20) + CLIENTS * (4 << 10);
    /** The time in which a client that stops within a request has its error. */
    private static final int ERROR_WITHIN_MILLIS = 3_000;

    /** The part of a request that a client sends before it stops. */
    private enum Incomplete {
        BODY_WITH_LENGTH(post("Content-Length: 65536") + "x".repeat(65_000)),
        CHUNKED_BODY(post("Transfer-Encoding: chunked") + "4000\r\n" + "x".repeat(16_384) + "\r\nf000\r\n"
                + "x".repeat(48_000)),
        BODY_IN_SMALL_CHUNKS(post("Transfer-Encoding: chunked") + ("10\r\n" + "x".repeat(16) + "\r\n").repeat(3_000)),
        HEAD("GET /read HTTP/1.1\r\nX-Pad: " + "x".repeat(16_000)),
        BODY_TO_BE_RELAYED(post("Content-Length: 1000000") + "x".repeat(66_000)),
        CHUNKED_BODY_TO_BE_RELAYED(post("Transfer-Encoding: chunked") + "11170\r\n" + "x".repeat(70_000) + "\r\n");

        private final String sent;

        Incomplete(String sent) {
            this.sent = sent;
        }

        private static String post(String framing) {
            return "POST /once HTTP/1.1\r\nX-Correlation-Id: bad\r\nX-Time-Left: 3000m\r\n" + framing + "\r\n\r\n";
        }
    }

    private static FakeSocket send(DispatcherRig rig, String text) {
        FakeSocket client = rig.client();
        client.sendInReads(text);
        return client;
    }

    private static boolean waits(FakeSocket client) {
        return client.open() && client.output.isEmpty();
    }

    /** Guards against clients that stop within a request and stay, whatever part of it they have sent. */
    @ParameterizedTest
    @EnumSource(Incomplete.class)
    void endsIncompleteRequestsThatOccupyTooMuchMemory(Incomplete incomplete) throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        List<FakeSocket> stopped = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            stopped.add(send(rig, incomplete.sent.replace("Id: bad", "Id: bad" + i)));
            long heldBytes = stopped.stream().filter(RequestMemoryTest::waits).count() * incomplete.sent.length();
            assertTrue(heldBytes <= MAX_HELD_BYTES, heldBytes + " bytes of " + (i + 1) + " clients are held");
        }
        FakeSocket usual = rig.client();
        usual.send(request("once", "c1"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, usual);
        rig.advance(ERROR_WITHIN_MILLIS);
        for (FakeSocket client : stopped) {
            assertTrue(
                    client.output.matches("(?s)HTTP/1.1 (408|503) .*"), "the client has its error: " + client.output);
        }
    }

    /** Prevents a small request from being refused, and a large one from being lost, where complete requests occupy all memory. */
    @Test
    void refusesLargeRequestsWhileCompleteOnesOccupyTheMemory() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        String large =
                "POST /once HTTP/1.1\r\nX-Correlation-Id: bad\r\nX-Time-Left: 3000m\r\nContent-Length: 65536\r\n\r\n"
                        + "x".repeat(65_536);
        List<FakeSocket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(send(rig, large.replace("Id: bad", "Id: large" + i)));
        }
        long held = clients.stream().filter(RequestMemoryTest::waits).count();
        assertTrue(held * large.length() <= MAX_HELD_BYTES, held + " large requests are held");
        FakeSocket usual = rig.client();
        usual.send(request("read", "c1"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, usual);
        rig.advance(ERROR_WITHIN_MILLIS);
        assertEquals(
                0, clients.stream().filter(RequestMemoryTest::waits).count(), "each large request has its response");
    }

    /** Guards against memory that stays reserved after its request: later requests would be refused for good. */
    @ParameterizedTest
    @EnumSource(Incomplete.class)
    void acceptsLargeRequestsAfterIncompleteOnesHaveGone(Incomplete incomplete) throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        for (int i = 0; i < CLIENTS; i++) {
            FakeSocket client = send(rig, incomplete.sent.replace("Id: bad", "Id: bad" + i));
            if (i % 2 == 0) {
                client.queueDisconnect();
                rig.runPending();
            }
        }
        rig.advance(ERROR_WITHIN_MILLIS);
        FakeSocket client = rig.client();
        for (int i = 0; i < CLIENTS; i++) {
            client.send(request("once", "c" + i).replace("Length: 2\r\n\r\nhi", "Length: 60000\r\n\r\n")
                    + "x".repeat(60_000));
            rig.lastUsed().sendOk("done");
            expectResponse(200, client);
            rig.advance(20);
        }
    }
}
