package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.endpoint;
import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests invalid, incomplete, duplicate and oversized requests, and too many client connections. */
class ClientRequestTest {
    @Test
    void rejectsInvalidRequestsWithTheirStatus() throws IOException {
        String[][] rows = {
            {"404", request("read", "c").replace("/read", "/other")},
            {"400", request("mark", "c").replace("Idempotency-Key: k\r\n", "")},
            {"400", request("once", "c").replace("X-Time", "Idempotency-Key: k\r\nX-Time")},
            {"400", request("mark", "c").replace("X-Time", "Idempotency-Key: j\r\nX-Time")},
            {"400", request("read", "c").replace("X-Time", "X-Correlation-Id: d\r\nX-Time")},
            {"400", request("read", "c").replace("X-Time", "X-Time-Left: 5m\r\nX-Time")},
            {"400", request("read", "a b")},
            {"400", request("read", "a\7b")},
            {"400", request("read", "c").replace("/read", "/read\7")},
            {"400", request("read", "c").replace("/read", "/r\u00e9ad")},
            {"400", "\26\3\1 a greeting of another protocol"},
            {"405", request("read", "c").replace("GET", "POST")},
            {"405", request("once", "c").replace("POST", "GET")},
            {"400", request("read", "c").replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi")},
            {"400", request("once", "c") + "a body longer than declared"},
            {"505", request("read", "c").replace("1.1", "1.0")},
            {"400", request("read", "c").replace("2000m", "soon")},
            {"502", request("read", "c").replace("2000m", "0m")},
            {"413", request("once", "c").replace("Length: 2", "Length: 40000000")},
            {"400", request("once", "c").replace("Length: 2", "Length: -2")},
            {"400", "nonsense\r\n\r\n"}
        };
        for (String[] row : rows) {
            DispatcherRig rig = DispatcherRig.withUpstreams(1);
            FakeSocket client = rig.client();
            client.send(row[1]);
            expectResponse(Integer.parseInt(row[0]), client);
            assertEquals(0, rig.upstreamConnections().size(), row[1]);
        }
    }

    /** Prevents a client that sends bytes slowly from postponing its error response, which is due 3 s after connecting. */
    @Test
    void timesOutAnIncompleteRequest() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send("GET /read HTTP/1.1\r\nX-Corr");
        FakeSocket blank = rig.client();
        for (int i = 0; i < 7; i++) {
            rig.advance(250);
            client.send("e");
            blank.send("\r\n");
        }
        assertEquals("", client.output);
        rig.advance(750);
        expectResponse(408, client);
        assertFalse(blank.open());
        rig.advance(300);
        assertFalse(client.open());
    }

    /** Without the check, an upstream takes the second call for a duplicate of the first, and the responses are mixed up. */
    @Test
    void rejectsACallWithTheIdOfACallInFlight() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket first = rig.client();
        FakeSocket second = rig.client();
        first.send(request("read", "c"));
        second.send(request("read", "c"));
        expectResponse(409, second);
        assertEquals(1, rig.upstreamConnections().size());
        rig.lastUsed().sendOk("a");
        assertTrue(first.output.endsWith("a"), first.output);
        rig.advance(20);
        FakeSocket again = rig.client();
        again.send(request("read", "c"));
        rig.lastUsed().sendOk("b");
        assertTrue(again.output.endsWith("b"), again.output);
    }

    /** A rejected request has a body of 60 MB that arrives at full speed; only a little of it is read. */
    @Test
    void stopsReadingARejectedRequest() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c").replace("Length: 2", "Length: 60000000"));
        assertFalse(
                client.open(),
                "closed in order, so that the client reads its response; ConnectionCloseOrderingTest covers the discarded input");
        expectResponse(413, client);
        FakeSocket more = rig.client();
        more.send(request("read", "d"));
        more.send("no request");
        expectResponse(400, more);
        assertFalse(rig.lastUsed().open(), "the attempt of the call is cancelled");
    }

    /** Guards against a fault seen with 256 descriptors: clients that were idle after one request, or never sent one, excluded others. */
    @Test
    void closesIdleClientConnectionsToAdmitActiveOnes() throws IOException {
        DispatcherRig rig = new DispatcherRig("{\"sockets\":96}", endpoint(1, "in_service"), endpoint(2, "in_service"));
        List<FakeSocket> idle = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            idle.add(rig.client());
            idle.get(i).send(request("once", "i" + i));
            rig.lastUsed().sendOk("x");
        }
        rig.advance(1_000);
        List<FakeSocket> unused = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            unused.add(rig.client());
        }
        rig.advance(100);
        for (int i = 0; i < 8; i++) {
            rig.client().send(request("once", "c" + i));
        }
        assertEquals(
                8,
                unused.stream().filter(socket -> !socket.open()).count(),
                "one is closed for each client over the limit");
        assertTrue(idle.stream().allMatch(FakeSocket::open), "idle for less than 2 s, so a request may be in transit");
        rig.advance(2_400);
        assertTrue(
                unused.stream().noneMatch(FakeSocket::open),
                "closed, as they sent no request within 2 s of connecting");
        assertTrue(
                idle.stream().noneMatch(FakeSocket::open),
                "closed, as they were idle for 2 s and more than half of the limit is in use");
        for (int i = 0; i < 16; i++) {
            FakeSocket admitted = rig.client();
            admitted.send(request("once", "d" + i));
            assertEquals("", admitted.output, "a call is not refused because of connections without one");
        }
        FakeSocket excess = rig.client();
        excess.send(request("once", "excess"));
        expectResponse(503, excess);
        assertFalse(excess.open(), "a connection over the limit is closed after its response");
    }
}
