package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests the forwarding of requests and responses between one client and one upstream. */
class RequestForwardingTest {
    @Test
    void forwardsTheUpstreamBodyAndReusesBothConnections() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        for (int i = 0; i < 3; i++) {
            client.send(request("once", "c" + i));
            assertEquals(
                    "POST /once HTTP/1.1\r\nX-Correlation-Id: c" + i
                            + "\r\nX-Time-Left: 1965000u\r\nContent-Length: 2\r\n\r\nhi",
                    rig.lastUsed().takeOutput());
            rig.lastUsed().sendOk("body" + i);
            assertTrue(client.output.endsWith("\r\n\r\nbody" + i), client.output);
            expectResponse(200, client);
            rig.advance(10);
        }
        assertEquals(1, rig.upstreamConnections().size());
    }

    /** On a connection that is established late, the request states the remaining time when it is sent, not when the attempt started. */
    @Test
    void sendsTheTimeThatRemainsWhenTheRequestIsWritten() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        rig.connectsAtOnce = false;
        rig.client().send(request("read", "c"));
        rig.advance(100);
        rig.lastUsed().connect();
        assertTrue(rig.lastUsed().output.contains("X-Time-Left: 1865000u\r\n"), rig.lastUsed().output);
    }

    /** Rule 1: the time of a pipelined call counts from its arrival, not from when it is forwarded. */
    @Test
    void measuresTheDeadlineOfAPipelinedCallFromItsLastByte() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        rig.advance(100);
        client.send(request("once", "d"));
        rig.advance(900);
        client.send(request("once", "e"));
        rig.lastUsed().sendOk("c");
        expectResponse(200, client);
        assertTrue(
                rig.lastUsed().output.contains("X-Correlation-Id: d\r\nX-Time-Left: 1065000u"), rig.lastUsed().output);
        rig.advance(1_100);
        expectResponse(504, client);
        assertTrue(
                rig.lastUsed().output.contains("X-Correlation-Id: e\r\nX-Time-Left: 900000u"), rig.lastUsed().output);
    }

    @Test
    void forwardsNoLateBytesToAnotherCall() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket first = rig.lastUsed();
        first.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
        expectResponse(200, client);
        assertFalse(first.open(), "the connection is closed, as it received more than the response");
        client.send(request("read", "c2"));
        FakeSocket second = rig.lastUsed();
        second.sendOk("b");
        expectResponse(200, client);
        second.send("late");
        assertFalse(second.open());
        client.send(request("read", "c3"));
        FakeSocket third = rig.lastUsed();
        client.queueDisconnect();
        rig.runPending();
        assertFalse(third.open(), "the attempt is cancelled, as the client has disconnected");
        third.sendOk("late");
        FakeSocket other = rig.client();
        other.send(request("read", "c4"));
        rig.lastUsed().sendOk("d");
        assertTrue(other.output.endsWith("d"), other.output);
    }

    /** Guards against a fault seen with faulty upstreams: the response to one call was taken for the response to another. */
    @Test
    void usesNoResponseThatPrecedesItsRequest() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c1"));
        FakeSocket first = rig.lastUsed();
        first.sendOk("1");
        expectResponse(200, client);
        client.send(request("once", "c2"));
        assertTrue(
                rig.lastUsed() != first,
                "the connection is not reused at once, as a duplicate may follow the response");
        rig.lastUsed().sendOk("2");
        expectResponse(200, client);
        rig.advance(20);
        rig.lastUsed().stalled = true;
        client.send(request("once", "c3"));
        rig.lastUsed().sendOk("2");
        expectResponse(502, client);
        assertFalse(rig.lastUsed().open());
    }

    /** Guards against a fault seen with faulty upstreams: a wrong content length left the call without a response at its deadline. */
    @Test
    void failsACallWhoseResponseNeverEndsAtItsDeadline() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        rig.lastUsed().send("HTTP/1.1 103 Hints\r\n\r\n");
        rig.advance(400);
        rig.lastUsed().send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
        rig.advance(200);
        rig.lastUsed().send("cd");
        rig.advance(1_360);
        assertEquals("", client.output);
        assertTrue(rig.lastUsed().open(), "the upstream may still send the rest");
        rig.advance(10);
        expectResponse(504, client);
        assertFalse(rig.lastUsed().open());
    }

    /** Guards against a response that is cut off although its upstream sends the rest in time. */
    @Test
    void passesOnAResponseWhoseRestComesJustBeforeTheDeadline() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        rig.lastUsed().send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
        rig.advance(1_960);
        assertEquals("", client.output);
        rig.lastUsed().send("cd");
        expectResponse(200, client);
        assertTrue(rig.lastUsed().open());
    }
}
