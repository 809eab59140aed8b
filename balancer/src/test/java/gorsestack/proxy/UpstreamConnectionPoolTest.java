package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.endpoint;
import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the use of pooled, late and idle connections to upstreams. */
class UpstreamConnectionPoolTest {
    /**
     * Rule 1. Guards against a fault seen under overload: a hedged request was sent on a connection that was established just after the
     * call had its response.
     */
    @Test
    void sendsNothingOnAConnectionEstablishedAfterTheResponse() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket client = rig.client();
        client.send(request("read", "c"));
        FakeSocket first = rig.lastUsed();
        rig.connectsAtOnce = false;
        for (int i = 0; i < 40; i++) {
            rig.client().send(request("read", "w" + i)); // the responses earn the budget of one hedged request
            if (!rig.lastUsed().wasEstablished) {
                rig.lastUsed().connect();
            }
            rig.lastUsed().sendOk("x");
        }
        rig.upstreamConnections().stream().filter(socket -> socket != first).forEach(FakeSocket::queueDisconnect);
        rig.advance(610);
        FakeSocket hedge = rig.lastUsed();
        assertFalse(hedge.wasEstablished, "the hedged request waits for its connection, which is not established");
        // The response and the connection arrive one after the other, before the event loop runs anything else.
        rig.execute(() -> first.handler()
                .received(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII), rig.now()));
        hedge.queueConnect();
        rig.runPending();
        expectResponse(200, client);
        assertEquals("", hedge.output);
        assertTrue(hedge.open(), "the connection is unused, so it is pooled for the next call");
        rig.advance(20);
        client.send(request("once", "next"));
        assertTrue(rig.lastUsed() == hedge
                || rig.upstreamConnections().stream()
                                .filter(socket -> socket.output.contains("next"))
                                .count()
                        == 1);
    }

    /**
     * Connects to an unreachable host hold descriptors until they fail, even if no call waits for them any more, so they count against the
     * limit.
     */
    @Test
    void countsAnAbandonedConnectUntilItFails() throws IOException {
        DispatcherRig rig = new DispatcherRig("{\"sockets\":96}", endpoint(1, "in_service"));
        rig.connectsAtOnce = false;
        int connectLimit = (96 - 48) / 2;
        for (int i = 0; i < 60; i++) {
            FakeSocket client = rig.client();
            client.send(request("once", "c" + i));
            client.queueDisconnect();
            rig.runPending();
            rig.advance(1);
        }
        assertEquals(connectLimit, rig.upstreamConnections().size());
        rig.upstreamConnections().forEach(socket -> rig.execute(socket.handler()::closed));
        rig.runPending();
        rig.client().send(request("once", "d"));
        assertEquals(connectLimit + 1, rig.upstreamConnections().size(), "connections are available again");
    }

    /** A third of the connections take longer than an attempt waits. If each were closed when established, the next would be as late. */
    @Test
    void poolsALateConnectionForTheNextCall() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        FakeSocket late = rig.lastUsed();
        rig.advance(125);
        assertEquals("", late.output, "no request is sent, and the attempt is reported as not executed");
        client.queueDisconnect();
        rig.runPending();
        int connectionsBefore = rig.upstreamConnections().size();
        rig.upstreamConnections().forEach(FakeSocket::connect);
        rig.advance(20);
        assertEquals(
                1,
                rig.upstreamConnections().stream().filter(FakeSocket::open).count(),
                "one connection is pooled, the others are closed");
        FakeSocket next = rig.client();
        next.send(request("once", "d"));
        assertEquals(connectionsBefore, rig.upstreamConnections().size(), "no new connection");
        rig.lastUsed().sendOk("d");
        expectResponse(200, next);
    }

    /** An idle connection that reaches the upstream's own idle limit ends in a reset, after which a call may have been executed. */
    @Test
    void closesIdleConnectionsEarlyAndReusesTheMostRecentlyUsedFirst() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket first = rig.client();
        FakeSocket second = rig.client();
        first.send(request("read", "a"));
        second.send(request("read", "b"));
        rig.upstreamConnections().get(0).sendOk("a");
        rig.advance(500);
        rig.upstreamConnections().get(1).sendOk("b");
        rig.advance(9_500);
        first.send(request("read", "c"));
        rig.upstreamConnections().get(1).sendOk("c");
        rig.advance(12_000);
        assertFalse(rig.upstreamConnections().get(0).open(), "closed after 22 s of an idle timeout of 30 s");
        assertTrue(rig.upstreamConnections().get(1).open());
        rig.advance(10_000);
        assertFalse(rig.upstreamConnections().get(1).open());
    }

    /** The idle connections to an unreachable host stay open, and each would lose a call that is sent on it. */
    @Test
    void closesIdleConnectionsToAnUnresponsiveUpstream() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket first = rig.client();
        FakeSocket second = rig.client();
        first.send(request("read", "a"));
        second.send(request("read", "b"));
        rig.upstreamConnections().get(0).sendOk("a");
        rig.upstreamConnections().get(1).sendOk("b");
        rig.advance(100);
        first.send(request("once", "c"));
        rig.advance(1200);
        assertEquals(
                1,
                rig.upstreamConnections().stream().filter(FakeSocket::open).count(),
                "only the connection of the attempt in flight stays open");
    }

    /** Guards against a fault seen with upstreams that reset pooled connections: calls that may not be repeated were lost. */
    @Test
    void sendsNoNonIdempotentCallOnAPooledConnectionOnceOneWasReset() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        for (String product : new String[] {"read", "once", "read"}) {
            client.send(request(product, "a"));
            rig.lastUsed().sendOk("a");
            expectResponse(200, client);
            rig.advance(50);
        }
        assertEquals(1, rig.upstreamConnections().size());
        FakeSocket other = rig.client();
        client.send(request("read", "b"));
        other.send(request("read", "c"));
        rig.upstreamConnections().get(1).sendOk("c");
        rig.advance(50);
        rig.upstreamConnections().get(0).queueDisconnect();
        rig.runPending();
        client.takeOutput();
        other.takeOutput();
        int before = rig.upstreamConnections().size();
        other.send(request("once", "d"));
        assertEquals(before + 1, rig.upstreamConnections().size(), "a new connection");
        assertEquals(
                1,
                rig.upstreamConnections().stream().filter(FakeSocket::open).count(),
                "the new connection replaces a pooled one");
        rig.lastUsed().sendOk("d");
        expectResponse(200, other);
        rig.advance(11_000);
        other.send(request("once", "e"));
        assertEquals(before + 1, rig.upstreamConnections().size(), "pooled connections are used again");
    }
}
