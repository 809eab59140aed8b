package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.admin.Handover;
import gorsestack.decision.EndpointUpdate;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests connections to upstreams that are established after their attempt was abandoned or their upstream changed, on real sockets. */
@Timeout(60)
class ConnectOrderingTest {
    /**
     * Guards against a fault seen in a lab scenario: when an attempt was abandoned just as its connection was established, MINA counted
     * the cancelled connect twice, and from then on no connection was established until another was started. Connects are no longer
     * cancelled, so later ones are established without delay.
     */
    @Test
    void anAbandonedConnectDoesNotDelayLaterConnects() throws Exception {
        for (int i = 0; i < 25; i++) {
            try (SocketRig rig = new SocketRig(2)) {
                Socket client = rig.connectClient();
                send(client, request("once", "c"));
                rig.runUntil(() -> rig.upstreamSpies.size() == 1);
                while (rig.upstreams.get(0).accepted.isEmpty()
                        && rig.upstreams.get(1).accepted.isEmpty()) {
                    if (rig.upstreams.get(0).acceptWithin(5) == null) {
                        rig.upstreams.get(1).acceptWithin(5);
                    }
                }
                int first = rig.upstreams.get(0).accepted.isEmpty() ? 1 : 0;
                rig.applyUpdate(
                        "{\"index\":42,\"endpoints\":[" + rig.endpoint(first, "terminating") + "]}",
                        EndpointUpdate.Kind.DELTA);
                assertEquals(2, rig.upstreamSpies.size());
                rig.runUntil(() -> rig.upstreamSpies.get(1).sentCount > 0);
            }
        }
    }

    /** Rule 3: an attempt waits for its connection when its upstream drains, is removed, restarts or is put into maintenance. */
    @Test
    void sendsNothingOnAConnectionEstablishedAfterItsUpstreamBeganToDrain() throws Exception {
        for (String variant : new String[] {"terminating", "terminated", "missing", "restarted", "maintenance"}) {
            try (SocketRig rig = new SocketRig(2)) {
                Socket client = rig.connectClient();
                send(client, request("once", "c"));
                rig.runUntil(() -> rig.upstreamSpies.size() == 1);
                int first = rig.upstreams.get(0).acceptWithin(200) != null ? 0 : 1;
                String remaining = rig.endpoint(1 - first, "in_service");
                switch (variant) {
                    case "missing" ->
                        rig.applyUpdate(
                                "{\"index\":42,\"endpoints\":[" + remaining + "]}", EndpointUpdate.Kind.SNAPSHOT);
                    case "restarted" ->
                        rig.applyUpdate(
                                "{\"index\":42,\"endpoints\":["
                                        + rig.endpoint(first, "in_service").replace("}", ",\"since_ms\":1700000000000}")
                                        + "]}",
                                EndpointUpdate.Kind.DELTA);
                    case "maintenance" -> rig.dispatcher.setMaintenance("s" + first, Handover.NOT_ENDED);
                    default ->
                        rig.applyUpdate(
                                "{\"index\":42,\"endpoints\":[" + rig.endpoint(first, variant) + "]}",
                                EndpointUpdate.Kind.DELTA);
                }
                Socket abandoned = first == 0 && !rig.upstreams.get(0).accepted.isEmpty()
                        ? rig.upstreams.get(0).accepted.get(0)
                        : rig.upstreams.get(1).acceptWithin(1_000);
                rig.runUntil(() -> rig.upstreamSpies.size() >= 2
                        && rig.upstreamSpies.get(1).sentCount > 0
                        && (rig.upstreamSpies.get(0).channel != null || rig.upstreamSpies.get(0).closedCount > 0));
                assertEquals(
                        "",
                        abandoned == null ? "" : readToEnd(abandoned),
                        variant + ": no byte is sent to the first upstream");
            }
        }
    }

    /** Rule 1: the event loop is late, and the connection is established after the call's deadline but before the timer runs. */
    @Test
    void sendsNothingOnAConnectionEstablishedAfterTheDeadline() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("once", "c"));
            rig.runUntil(() -> rig.upstreamSpies.size() == 1);
            rig.awaitQueuedTask();
            rig.advanceWithoutRunning(2_100);
            rig.runPending();
            Socket abandoned = rig.upstreams.get(0).accept();
            rig.advance(500);
            assertEquals("", readToEnd(abandoned));
            assertTrue(readMessage(client).startsWith("HTTP/1.1 "));
        }
    }
}
