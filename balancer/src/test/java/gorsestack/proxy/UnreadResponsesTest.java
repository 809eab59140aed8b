package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests clients that do not read their responses. Guards against some hundred of them that use up the heap together, and against a client
 * that reads slowly and steadily and is taken for one of them.
 */
class UnreadResponsesTest {
    private static final int CLIENTS = 300;
    private static final int PIPELINED_REQUESTS = 200;
    private static final String BODY = "y".repeat(60_000);
    /** The bound for the responses of all clients, and one response beside it. */
    private static final long MAX_UNSENT_BYTES = (8L << 20) + BODY.length() + 1_000;
    /** The time after which a client that reads nothing is disconnected. */
    private static final int STALL_TIMEOUT_MILLIS = 5_000;

    private static FakeSocket clientThatReadsNothing(DispatcherRig rig) {
        FakeSocket client = rig.client();
        client.peerStopped = true;
        return client;
    }

    private static String pipelinedRequests(String id) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            requests.append(request("read", id + "-" + i));
        }
        return requests.toString();
    }

    /** Has the upstreams respond to each call that is open; returns how many there were. */
    private static int respondToOpenCalls(DispatcherRig rig) {
        int responses = 0;
        for (FakeSocket upstream : rig.upstreamConnections()) {
            if (upstream.open() && !upstream.takeOutput().isEmpty()) {
                upstream.send(ok(BODY));
                responses++;
            }
        }
        return responses;
    }

    /** Guards against requests that are all processed although the client reads none of the responses. */
    @Test
    void beginsNoFurtherPipelinedRequestWhileResponsesWait() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = clientThatReadsNothing(rig);
        client.sendInReads(pipelinedRequests("c"));
        int responses = 0;
        while (respondToOpenCalls(rig) > 0) {
            responses++;
            rig.advance(20);
        }
        assertEquals(2, responses, "the first two responses exceed what may wait");
        client.readByPeer(2L * BODY.length());
        client.peerStopped = false;
        client.readByPeer(Long.MAX_VALUE);
        while (respondToOpenCalls(rig) > 0) {
            responses++;
            rig.advance(20);
        }
        assertTrue(client.open());
        assertEquals(PIPELINED_REQUESTS + 1, client.output.split("HTTP/1.1 ", -1).length);
        // With no time left, the rest is answered by the balancer itself.
        assertTrue(responses > 2, responses + " responses");
    }

    /** Guards against clients that use up the heap together, each below its own limit. */
    @Test
    void closesConnectionsOfClientsThatReadNothingWhenResponsesOccupyTooMuchMemory() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(4);
        List<FakeSocket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            FakeSocket client = clientThatReadsNothing(rig);
            clients.add(client);
            client.sendInReads(pipelinedRequests("c" + i));
            for (int rounds = 0; rounds < 4; rounds++) {
                respondToOpenCalls(rig);
            }
            long unsentBytes = clients.stream()
                    .filter(FakeSocket::open)
                    .mapToLong(FakeSocket::unsent)
                    .sum();
            assertTrue(unsentBytes <= MAX_UNSENT_BYTES, unsentBytes + " bytes of " + (i + 1) + " clients wait");
            rig.advance(10);
        }
        assertTrue(clients.get(CLIENTS - 1).open(), "the client that has stopped last is closed last");
        FakeSocket usual = rig.client();
        usual.send(request("once", "usual"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, usual);
        rig.advance(STALL_TIMEOUT_MILLIS + 500);
        assertTrue(clients.stream().noneMatch(FakeSocket::open), "none stays for good");
        FakeSocket reading = rig.client();
        reading.peerStopped = true;
        reading.send(request("read", "reading"));
        respondToOpenCalls(rig);
        assertTrue(reading.open(), "what was counted has been given back");
    }

    /**
     * Guards against steady readers that are cut off because their responses together exceed the memory, though each is read at the speed
     * that a client is allowed.
     */
    @ParameterizedTest
    @CsvSource({"100,250000,true", "300,250000,false", "300,600000,true", "300,600000,false"})
    void sendsWholeResponsesToHundredsOfClientsThatReadSlowly(int count, int bodyBytes, boolean lengthKnown)
            throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(60);
        List<SlowExchange> exchanges = new ArrayList<>();
        long mostHeld = 0;
        for (int ticks = 0; ticks < 20_000 / SlowExchange.TICK_MILLIS; ticks++) {
            for (int i = 0; i < 4 && exchanges.size() < count; i++) {
                exchanges.add(new SlowExchange(rig, "slow" + exchanges.size(), bodyBytes, lengthKnown));
            }
            for (SlowExchange exchange : exchanges) {
                exchange.tick();
            }
            rig.advance(SlowExchange.TICK_MILLIS);
            mostHeld = Math.max(mostHeld, responseBytes(rig));
        }
        for (SlowExchange exchange : exchanges) {
            assertEquals(bodyBytes, exchange.receivedBytes, "of one response");
        }
        assertTrue(mostHeld <= 8 << 20, mostHeld + " bytes are held");
        assertEquals(0, responseBytes(rig));
    }

    private static long responseBytes(DispatcherRig rig) {
        Map<String, Long> inUse = new HashMap<>();
        rig.dispatcher.bufferBudget().report(inUse::put);
        return inUse.get("responses");
    }

    /** Guards against a slow reader that is disconnected because no single write is sent whole within the time. */
    @Test
    void keepsAClientOfWhoseResponseTheSystemTakesSomeBytes() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = clientThatReadsNothing(rig);
        client.send(request("read", "c1"));
        FakeSocket upstream = rig.lastUsed();
        upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + "y".repeat(10_000));
        upstream.send("y".repeat(290_000));
        assertTrue(upstream.readingSuspended);
        for (int i = 0; i < 10; i++) {
            rig.advance(STALL_TIMEOUT_MILLIS - 300);
            assertTrue(client.open(), "after " + i + " reads");
            client.readByPeer(20_000);
        }
        rig.advance(STALL_TIMEOUT_MILLIS - 300);
        assertTrue(client.open());
        rig.advance(1_200);
        assertFalse(client.open(), "the client has stopped");
    }

    /** Guards against a client that is disconnected because its connection was idle before this side's first bytes waited. */
    @Test
    void keepsAClientWhosePermissionToContinueWaitsAfterAnIdleTime() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        respondToOpenCalls(rig);
        client.takeOutput();
        rig.advance(2 * STALL_TIMEOUT_MILLIS);
        client.peerStopped = true;
        client.send("POST /once HTTP/1.1\r\nX-Correlation-Id: c2\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertTrue(client.output.startsWith("HTTP/1.1 100 "), client.output);
        rig.advance(300);
        assertTrue(client.open());
    }

    /** Prevents a complete response from being held for good for a client that has stopped. */
    @Test
    void disconnectsAClientThatReadsNothingOfACompleteResponse() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = clientThatReadsNothing(rig);
        client.send(request("read", "c1"));
        respondToOpenCalls(rig);
        rig.advance(STALL_TIMEOUT_MILLIS - 300);
        assertTrue(client.open());
        rig.advance(600);
        assertFalse(client.open());
    }
}
