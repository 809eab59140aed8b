package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how outcomes of attempts decide whether the call is retried elsewhere and whether the upstream counts as unhealthy. */
class AttemptOutcomeTest {
    /** Guards against an end of the stream that counts as a second response and lengthens the rest of the upstream's connections. */
    @Test
    void responseThatEndsWithItsStreamIsNoExcess() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket upstream = rig.lastUsed();
        upstream.send("HTTP/1.1 200 OK\r\n\r\nhello");
        rig.execute(upstream.handler()::ended);
        upstream.queueDisconnect();
        rig.runPending();
        expectResponse(200, client);
        client.send(request("read", "c2"));
        rig.lastUsed().sendOk("second");
        rig.advance(20);
        client.send(request("read", "c3"));
        assertEquals(2, rig.upstreamConnections().size(), "the second connection is reused after its usual rest");
    }

    @Test
    void retriesAfterADisconnectOnlyIfTheRequestWasNotCompletelySent() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(request("once", "c1"));
        FakeSocket first = rig.lastUsed();
        first.stalled = true;
        first.connect();
        first.queueDisconnect();
        rig.runPending();
        FakeSocket second = rig.lastUsed();
        assertTrue(second != first, "the request was not executed there, so it is retried elsewhere");
        second.connect();
        second.queueDisconnect();
        rig.runPending();
        assertEquals(2, rig.upstreamConnections().size(), "no retry, as the request may have been executed");
        expectResponse(502, client);
        rig.connectsAtOnce = true;
        client.send(request("once", "c2"));
        rig.advance(1_960);
        assertEquals("", client.output);
        rig.advance(10);
        expectResponse(504, client);
    }

    @Test
    void retriesAnErrorResponseOnlyIfItHasTheUnprocessedHeader() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket client = rig.client();
        client.send(request("once", "c1"));
        rig.lastUsed().send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        assertEquals(2, rig.upstreamConnections().size());
        rig.lastUsed().send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        expectResponse(502, client);
        assertEquals(2, rig.upstreamConnections().size());
        client.send(request("once", "c2"));
        rig.lastUsed().send("HTTP/1.1 200 OK\r\n\r\na response without an end");
        rig.advance(1_960);
        assertEquals("", client.output);
        rig.advance(10);
        expectResponse(504, client);
        assertEquals(3, rig.upstreamConnections().size(), "one for the second call, which is not retried");
    }

    @Test
    void retriesElsewhereWhenAConnectTimesOut() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        rig.client().send(request("once", "c"));
        assertEquals(1, rig.upstreamConnections().size());
        rig.advance(121);
        assertEquals(2, rig.upstreamConnections().size(), "a connect that timed out proves that nothing was executed");
        assertTrue(!rig.upstreamConnections().get(0).remoteAddress.equals(rig.lastUsed().remoteAddress));
    }

    /** Rule 2: a refused connection proves that nothing was executed, so even a call that may not be repeated is retried elsewhere. */
    @Test
    void retriesElsewhereWhenAConnectionIsRefused() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        rig.lastUsed().queueDisconnect();
        rig.runPending();
        assertEquals(2, rig.upstreamConnections().size());
        rig.lastUsed().connect();
        rig.lastUsed().sendOk("c");
        expectResponse(200, client);
    }

    /** Guards against reporting attempts that timed out as cancelled: when a zone was lost, no upstream was ejected because of this. */
    @Test
    void ejectsAnUpstreamWhoseAttemptsTimeOut() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        List<FakeSocket> unresponsive = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            rig.client().send(request("once", "c" + i));
        }
        for (FakeSocket socket : rig.upstreamConnections()) {
            if (socket.remoteAddress.toString().equals("/127.0.1.1:80")) {
                unresponsive.add(socket);
            } else {
                socket.sendOk("x");
            }
        }
        assertTrue(unresponsive.size() > 3);
        rig.advance(300);
        unresponsive.get(0).sendOk("a response to one call");
        rig.advance(2_000);
        for (int i = 0; i < 10; i++) {
            rig.client().send(request("once", "d" + i));
            assertEquals("/127.0.1.2:80", rig.lastUsed().remoteAddress.toString());
            rig.lastUsed().sendOk("x");
        }
    }

    /** Every upstream rejects the calls of faulty clients. If these counted as failures, all upstreams would be ejected. */
    @Test
    void doesNotEjectAnUpstreamThatRejectsBadRequests() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        int rejected = 0;
        for (int i = 0; i < 40; i++) {
            rig.client().send(request("once", "c" + i));
            boolean first = rig.lastUsed().remoteAddress.toString().equals("/127.0.1.1:80");
            rig.lastUsed().send((first ? "HTTP/1.1 400 Bad" : "HTTP/1.1 200 OK") + "\r\nContent-Length: 0\r\n\r\n");
            rejected += first ? 1 : 0;
        }
        assertTrue(rejected > 8, "rejected " + rejected);
    }
}
