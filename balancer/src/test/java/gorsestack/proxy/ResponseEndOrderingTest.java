package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests ends and resets of upstream connections that coincide with responses, on real connections. */
@Timeout(60)
class ResponseEndOrderingTest {
    /** An orderly end completes a response without a length; a reset does not. */
    @Test
    void completesAResponseWithoutLengthOnAnOrderlyEndButNotOnAReset() throws Exception {
        for (boolean orderly : new boolean[] {true, false}) {
            try (SocketRig rig = new SocketRig(1)) {
                Socket client = rig.connectClient();
                send(client, request("once", "c"));
                rig.runUntil(() -> rig.clientSpy(0).receivedCount == 1);
                Socket upstream = rig.acceptRequest(0);
                send(upstream, "HTTP/1.1 200 OK\r\n\r\nhalf");
                HandlerSpy attempt = rig.upstreamSpies.get(0);
                rig.runUntil(() -> attempt.receivedCount == 1);
                if (orderly) {
                    upstream.close();
                } else {
                    reset(upstream);
                }
                rig.runUntil(() -> attempt.closedCount > 0 && rig.clientSpy(0).sentCount == 1);
                String response = readMessage(client);
                assertTrue(response.startsWith(orderly ? "HTTP/1.1 200 " : "HTTP/1.1 502 "), response);
            }
        }
    }

    /** The upstream's orderly end is still queued when the balancer closes the connection: the end no longer completes a response. */
    @Test
    void ignoresAnOrderlyEndAfterTheBalancerClosedTheConnection() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("once", "c"));
            rig.runUntil(() -> rig.clientSpy(0).receivedCount == 1);
            Socket upstream = rig.acceptRequest(0);
            send(upstream, "HTTP/1.1 200 OK\r\n\r\nhalf");
            HandlerSpy attempt = rig.upstreamSpies.get(0);
            rig.runUntil(() -> attempt.receivedCount == 1);
            upstream.close();
            rig.awaitWithoutRunning(() -> !attempt.channel.open());
            Runnable end = rig.takeQueuedTask();
            rig.advance(400); // the response stalls: nothing arrives for a quarter of a second
            end.run();
            rig.runPending();
            assertTrue(readMessage(client).startsWith("HTTP/1.1 502 "));
        }
    }

    /** A duplicate response is not sent to a later call, and once one is seen, connections stay idle longer before they are reused. */
    @Test
    void sendsNoDuplicateResponseToALaterCall() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectIdleClient();
            Socket upstream = rig.upstreams.get(0).accepted.get(0);
            send(upstream, ok("again"));
            rig.runUntil(() -> rig.upstreamSpies.get(0).receivedCount == 2);
            rig.runUntil(() -> rig.upstreamSpies.get(0).closedCount > 0);
            send(client, request("read", "second"));
            rig.runUntil(() -> rig.upstreamSpies.size() == 2 && rig.upstreamSpies.get(1).sentCount == 1);
            Socket other = rig.upstreams.get(0).accept();
            readMessage(other);
            send(other, ok("2"));
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 2);
            assertTrue(readMessage(client).endsWith("2"));
            rig.advance(50); // a pooled connection would be reused by now if no duplicate had been seen
            send(client, request("read", "third"));
            rig.runUntil(() -> rig.upstreamSpies.size() == 3);
        }
    }
}
