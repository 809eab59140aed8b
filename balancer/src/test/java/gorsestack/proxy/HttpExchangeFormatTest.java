package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.send;

import gorsestack.testing.Fixture;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Compares messages to upstreams and clients, and the status document, with stored forms; the test advances the balancer's clock. */
@Timeout(60)
class HttpExchangeFormatTest {
    private static final Fixture EXCHANGES = new Fixture("http-exchanges.txt");
    private static final Fixture STATUS = new Fixture("status.json");

    private static String section(String title, String message) {
        return "== " + title + "\n" + message.replace("\r", "\\r") + "\n";
    }

    /** Returns the messages of one call on a new client connection and a new upstream connection. */
    private static String exchange(String request, String response) throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request);
            rig.runUntil(() -> rig.upstreamSpies.stream().anyMatch(spy -> spy.sentCount > 0));
            Socket upstream = rig.upstreams.get(0).accept();
            String sentUpstream = readMessage(upstream);
            send(upstream, response);
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            return section("client to balancer", request)
                    + section("balancer to upstream", sentUpstream)
                    + section("upstream to balancer", response)
                    + section("balancer to client", readMessage(client));
        }
    }

    /** Returns the messages of a request that the balancer rejects without an attempt. */
    private static String rejection(String request) throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request);
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            return section("client to balancer", request) + section("balancer to client", readMessage(client));
        }
    }

    @Test
    void messagesMatchTheirStoredForms() throws Exception {
        String withHeaders =
                "HTTP/1.1 200 OK\r\nX-Other: a, b\r\nContent-Type: text/html\r\n" + "Content-Length: 4\r\n\r\nbody";
        EXCHANGES.assertSame(exchange(request("read", "c1"), ok("1"))
                + exchange(request("once", "c2"), withHeaders)
                + exchange(request("mark", "c3"), ok(""))
                + rejection("noise\r\n\r\n")
                + rejection(request("unknown", "c4")));
    }

    @Test
    void statusDocumentMatchesItsStoredForm() throws Exception {
        try (SocketRig rig = new SocketRig(2)) {
            rig.connectClient();
            int port = rig.discovery.listener.getLocalPort();
            STATUS.assertSame(rig.dispatcher.status().toString().replace("127.0.0.1:" + port, "DISCOVERY") + "\n");
        }
    }
}
