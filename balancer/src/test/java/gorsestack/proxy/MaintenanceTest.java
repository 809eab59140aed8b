package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.admin.Handover;
import gorsestack.invariant.CloseReason;
import gorsestack.wire.ClientConnection;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests operator commands, and the invariant on closing connections. */
class MaintenanceTest {
    /** Covers pooled connections to an upstream in maintenance, and clients that send nothing more during an evacuation. */
    @Test
    void appliesOperatorCommands() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(2);
        FakeSocket client = rig.client();
        for (int i = 0; i < 2; i++) {
            client.send(request("read", "c" + i));
            rig.lastUsed().sendOk("body");
            expectResponse(200, client);
            rig.advance(20);
        }
        rig.dispatcher.setMaintenance("s1", Handover.NOT_ENDED);
        rig.runPending();
        FakeSocket s1 = rig.upstreamConnections().stream()
                .filter(socket -> socket.remoteAddress.getHostString().equals("127.0.1.1"))
                .findFirst()
                .orElseThrow();
        assertFalse(s1.open());
        client.send(request("read", "c2"));
        rig.lastUsed().sendOk("body");
        expectResponse(200, client);
        rig.dispatcher.evacuate(true);
        FakeSocket idle = rig.client();
        idle.send("GET /_health HTTP/1.1\r\n\r\n");
        assertTrue(idle.output.startsWith("HTTP/1.1 503 ") && idle.output.contains("Connection: close"), idle.output);
        FakeSocket unused = rig.client();
        client.send(request("read", "c3") + request("read", "c4"));
        rig.lastUsed().sendOk("body");
        rig.runPending();
        assertTrue(client.open(), "the connection is not closed while a pipelined call is pending");
        expectResponse(200, client);
        rig.lastUsed().sendOk("body");
        rig.runPending();
        assertFalse(client.open(), "the connection is closed with its response");
        rig.advance(3_500);
        assertFalse(unused.open());
        assertFalse(rig.dispatcher.ready());
        rig.dispatcher.evacuate(false);
        assertTrue(rig.dispatcher.ready());
        client = rig.client();
        client.send(request("read", "c5"));
        rig.lastUsed().sendOk("body");
        expectResponse(200, client);
        rig.advance(4_000);
        assertTrue(client.open(), "the connection stays open, as the balancer serves again");
    }

    /** The invariant on closing detects a deliberate fault: the balancer closes a connection with a request that has no response. */
    @Test
    void countsAViolationIfAConnectionWithAPendingRequestIsClosed() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        rig.lastUsed().sendOk("body");
        expectResponse(200, client);
        rig.advance(20);
        assertEquals(
                0,
                rig.dispatcher
                        .status()
                        .path("invariants")
                        .path("violations.close")
                        .asInt(-1));
        client.send(request("read", "c2"));
        ((ClientConnection) client.handler()).drop(CloseReason.SHUTDOWN);
        rig.runPending();
        assertEquals(
                1,
                rig.dispatcher
                        .status()
                        .path("invariants")
                        .path("violations.close")
                        .asInt(-1));
    }
}
