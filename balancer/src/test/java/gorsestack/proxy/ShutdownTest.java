package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests shutdown with calls in flight. */
class ShutdownTest {
    @Test
    void respondsToCallsInFlightAtShutdownAndClosesIdleConnections() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket idle = rig.client();
        FakeSocket busy = rig.client();
        busy.send(request("once", "c"));
        rig.dispatcher.shutDown(rig.now() + 1_500 * DispatcherRig.MS, false);
        FakeSocket late = rig.client();
        late.send("GET /_health HTTP/1.1\r\n\r\n");
        expectResponse(503, late);
        FakeSocket newClient = rig.client();
        newClient.send(request("read", "d"));
        boolean[] allClosed = {false};
        rig.dispatcher.clients().onAllClosed(() -> allClosed[0] = true);
        // Connected clients are served for as long as possible, as the other balancer may not have started yet.
        idle.send(request("read", "e"));
        rig.lastUsed().sendOk("e");
        expectResponse(200, idle);
        assertTrue(idle.open());
        rig.dispatcher.clients().closeAll();
        rig.runPending();
        assertFalse(idle.open());
        rig.upstreamConnections().get(0).sendOk("c");
        assertTrue(
                busy.output.contains("Connection: close\r\n") && busy.output.endsWith("c") && !allClosed[0],
                busy.output);
        rig.upstreamConnections().get(1).sendOk("d");
        expectResponse(200, newClient);
        assertTrue(allClosed[0]);
    }

    /** Rule 1: a call that is accepted shortly before or after SIGTERM gets its response before the process may be killed. */
    @Test
    void respondsToEveryCallByTheShutdownDeadline() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        FakeSocket earlier = rig.client();
        earlier.send(request("once", "b"));
        rig.dispatcher.shutDown(rig.now() + 900 * DispatcherRig.MS, false);
        client.send(request("once", "c"));
        rig.advance(840);
        assertEquals("", client.output + earlier.output);
        rig.advance(60);
        expectResponse(504, client);
        expectResponse(504, earlier);
    }

    /** Rule 1. Guards against a fault seen with few descriptors: a call that was read was lost as its idle connection was closed. */
    @Test
    void respondsToACallThatWasQueuedWhenItsConnectionWasToBeClosed() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        rig.dispatcher.shutDown(Long.MAX_VALUE, false);
        byte[] read = request("read", "c").getBytes(StandardCharsets.US_ASCII);
        rig.execute(() -> {
            rig.execute(() -> client.handler().received(read, rig.now())); // the request was read and is queued
            rig.dispatcher.clients().closeAll();
        });
        rig.runPending();
        assertTrue(client.open());
        rig.lastUsed().sendOk("c");
        assertTrue(client.output.contains("Connection: close\r\n"), client.output);
        expectResponse(200, client);
        assertFalse(client.open());
    }
}
