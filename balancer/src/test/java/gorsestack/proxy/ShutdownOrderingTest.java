package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests shutdown that coincides with new connections and responses, on real connections. */
@Timeout(60)
class ShutdownOrderingTest {
    /**
     * A connection was accepted from the backlog as the listener closed, and the event loop has not been notified of it. The process must
     * not end before it is served.
     */
    @Test
    void waitsForAConnectionJustAcceptedFromTheBacklog() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = new Socket(rig.address.getAddress(), rig.address.getPort());
            client.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 1);
            rig.awaitQueuedTask();
            AtomicInteger allClosedCount = new AtomicInteger();
            rig.network.stopAccepting();
            rig.dispatcher.clients().onAllClosed(allClosedCount::incrementAndGet);
            assertEquals(0, allClosedCount.get());
            send(client, request("read", "c"));
            rig.runUntil(() -> rig.clientSpy(0).receivedCount > 0);
            Socket upstream = rig.acceptRequest(0);
            send(upstream, ok("served"));
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            assertTrue(readMessage(client).endsWith("served"));
            rig.dispatcher.clients().closeAll();
            rig.runUntil(() -> rig.clientSpy(0).closedCount > 0);
            assertEquals(0, allClosedCount.get(), "the process does not end while the socket is open");
            assertEquals("", readToEnd(client));
            client.close();
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 0);
            rig.advance(100);
            assertEquals(1, allClosedCount.get());
        }
    }

    /** The process does not end before a slow reader has received the last byte of its response and closed its connection. */
    @Test
    void waitsForTheLastByteOfAResponseToASlowReader() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = new Socket();
            client.setReceiveBufferSize(4 << 10);
            client.connect(rig.address);
            client.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
            rig.runUntil(() -> rig.clientSpies.size() == 1 && rig.clientSpy(0).channel != null);
            send(client, request("read", "c"));
            rig.runUntil(() -> rig.clientSpy(0).receivedCount > 0);
            Socket upstream = rig.acceptRequest(0);
            String body = "b".repeat(60_000);
            rig.dispatcher.shutDown(rig.now() + 3_000 * SocketRig.MS, false);
            rig.dispatcher.clients().closeAll();
            send(upstream, ok(body));
            AtomicInteger allClosedCount = new AtomicInteger();
            rig.network.stopAccepting();
            rig.dispatcher.clients().onAllClosed(allClosedCount::incrementAndGet);
            rig.runUntil(() -> rig.clientSpy(0).channel.unsent() > 0 || rig.clientSpy(0).sentCount > 0);
            String output = readToEnd(client);
            assertTrue(output.endsWith("\r\n\r\n" + body), output.length() + " bytes");
            assertEquals(0, allClosedCount.get());
            client.close();
            rig.awaitWithoutRunning(() -> rig.network.accepted() == 0);
            rig.advance(100);
            assertEquals(1, allClosedCount.get());
        }
    }
}
