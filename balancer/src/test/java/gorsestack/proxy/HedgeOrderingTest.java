package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.HttpMessages.unknownProduct;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests hedged requests and retries that coincide with the end of the repeat window and with responses, on real connections. */
@Timeout(60)
class HedgeOrderingTest {
    /** Completes enough calls to earn the budget of one hedged request; a hundred calls earn three. */
    private static void earnHedgeBudget(SocketRig rig) throws Exception {
        for (int i = 0; i < 40; i++) {
            Socket client = rig.connectClient();
            int connectionsBefore = rig.upstreamSpies.size();
            send(client, request("read", "t" + i));
            rig.runUntilRequestSent(connectionsBefore);
            Socket accepted = null;
            while (accepted == null) {
                accepted = rig.upstreams.get(0).acceptWithin(20);
                accepted = accepted == null ? rig.upstreams.get(1).acceptWithin(20) : accepted;
            }
            readMessage(accepted);
            send(accepted, ok("t").replace("OK\r\n", "OK\r\nConnection: close\r\n"));
            int clientNumber = i;
            rig.runUntil(() -> rig.clientSpy(clientNumber).sentCount > 0);
            readMessage(client);
            client.close();
            // Without this wait, a test could mistake the end of this connection for the one that it waits for.
            rig.runUntil(() -> rig.clientSpy(clientNumber).closedCount > 0
                    && rig.upstreamSpies.get(connectionsBefore).closedCount > 0);
        }
    }

    /** Rule 2: a hedged request waits for its connection when the repeat window ends. */
    @Test
    void sendsNoHedgedRequestOnAConnectionEstablishedAfterTheRepeatWindow() throws Exception {
        String settings = SocketRig.SETTINGS.replace("\"repeatWindow\":5000", "\"repeatWindow\":700");
        try (SocketRig rig = new SocketRig(2, settings)) {
            earnHedgeBudget(rig);
            Socket client = rig.connectClient();
            send(client, request("mark", "c"));
            int before = rig.upstreamSpies.size();
            rig.runUntilRequestSent(before);
            // The first attempt may have been executed. The hedged request starts after the hedging delay of 600 ms,
            // and its connection is established too late.
            rig.withholdsConnects = true;
            rig.advanceUntil(() -> rig.upstreamSpies.size() == before + 2);
            HandlerSpy hedge = rig.upstreamSpies.get(before + 1);
            assertEquals(0, hedge.sentCount);
            rig.runUntil(() -> hedge.channel != null);
            rig.advanceWithoutRunning(80);
            hedge.release();
            rig.runPending();
            rig.advance(2_000);
            assertEquals(0, hedge.sentCount, "the hedged request was sent after the window");
        }
    }

    /** Rule 2: a repeat window shorter than the hedging delay allows no hedged request, and a reset after the window allows no retry. */
    @Test
    void sendsNothingMoreAfterTheRepeatWindow() throws Exception {
        String settings = SocketRig.SETTINGS.replace("\"repeatWindow\":5000", "\"repeatWindow\":500");
        try (SocketRig rig = new SocketRig(2, settings)) {
            earnHedgeBudget(rig);
            Socket client = rig.connectClient();
            HandlerSpy spy = rig.lastClientSpy();
            int before = rig.upstreamSpies.size();
            send(client, request("mark", "c"));
            rig.runUntilRequestSent(before);
            rig.advance(1_000);
            assertEquals(before + 1, rig.upstreamSpies.size(), "no hedged request is started");
            Socket upstream = null;
            while (upstream == null) {
                upstream = rig.upstreams.get(0).acceptWithin(20);
                upstream = upstream == null ? rig.upstreams.get(1).acceptWithin(20) : upstream;
            }
            reset(upstream);
            rig.runUntil(() -> spy.sentCount == 1);
            rig.advance(1_500);
            assertEquals(before + 1, rig.upstreamSpies.size(), "no other attempt is started");
            assertTrue(
                    readMessage(client).startsWith("HTTP/1.1 502 "),
                    "the call may have been executed, so a retry would not be harmless");
        }
    }

    /**
     * The responses of both attempts have arrived, in either order. The client gets the first one, and no bytes of either connection reach
     * another call.
     */
    @Test
    void sendsOneResponseIfBothAttemptsSucceed() throws Exception {
        for (int first = 0; first < 2; first++) {
            try (SocketRig rig = new SocketRig(2)) {
                earnHedgeBudget(rig);
                Socket client = rig.connectClient();
                HandlerSpy spy = rig.lastClientSpy();
                int before = rig.upstreamSpies.size();
                send(client, request("read", "c"));
                rig.runUntilRequestSent(before);
                rig.advanceUntil(() -> rig.upstreamSpies.size() == before + 2);
                rig.runUntil(() -> rig.upstreamSpies.get(before + 1).sentCount > 0);
                List<HandlerSpy> attempts = List.copyOf(rig.upstreamSpies.subList(before, before + 2));
                attempts.forEach(HandlerSpy::withhold);
                for (ScriptedPeer upstream : rig.upstreams) {
                    Socket accepted = upstream.accept();
                    readMessage(accepted);
                    send(accepted, ok("" + accepted.getLocalPort()));
                }
                rig.runUntil(() -> attempts.get(0).receivedCount > 0 && attempts.get(1).receivedCount > 0);
                attempts.get(first).release();
                attempts.get(1 - first).release();
                rig.runUntil(() -> spy.sentCount == 1);
                rig.runUntil(() -> attempts.get(0).closedCount + attempts.get(1).closedCount > 0);
                String response = readMessage(client);
                assertTrue(
                        response.endsWith(
                                "\r\n\r\n" + attempts.get(first).remoteAddress.getPort()),
                        response);
                rig.advance(50);
                assertEquals(1, spy.sentCount);
                send(client, unknownProduct("n"));
                rig.runUntil(() -> spy.sentCount == 2);
                assertTrue(readMessage(client).startsWith("HTTP/1.1 404 "), "no other bytes were sent in between");
            }
        }
    }
}
