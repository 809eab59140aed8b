package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests which connections are closed when clients hold all places. Guards against calls that wait unaccepted behind clients that say nothing
 * or stop within a request, until their time is over.
 */
class ConnectionLimitTest {
    private static final int MAX_CONNECTIONS = 96;
    /** The number of connections that are accepted: the limit, and spare ones. */
    private static final int MAX_ACCEPTED = MAX_CONNECTIONS + 8;
    /** The time in which a connection that never sends a request has given way. */
    private static final int NEVER_USED_MILLIS = 100;
    /** The time in which a connection that has stopped within a request has given way. */
    private static final int STOPPED_MILLIS = 300;

    /** What a client sends before it stops. */
    private enum Stopped {
        HEAD("GET /read HTTP/1.1\r\nHost: ser"),
        BODY(post("Content-Length: 1000") + "half"),
        CHUNK(post("Transfer-Encoding: chunked") + "10\r\nhalf"),
        RELAYED_BODY(post("Content-Length: 200000") + "x".repeat(70_000)),
        HEAD_AFTER_A_REQUEST("GET /_health HTTP/1.1\r\n\r\nGET /read HTTP/1.1\r\nHost: ser");

        private final String sent;

        Stopped(String sent) {
            this.sent = sent;
        }

        private static String post(String framing) {
            return "POST /once HTTP/1.1\r\nX-Correlation-Id: bad\r\nX-Time-Left: 3000m\r\n" + framing + "\r\n\r\n";
        }

        String sentBy(int client) {
            return sent.replace("Id: bad", "Id: bad" + client);
        }
    }

    private static DispatcherRig rig() throws IOException {
        return new DispatcherRig("{\"sockets\":256}", DispatcherRig.endpoint(1, "in_service"));
    }

    private static List<FakeSocket> connect(DispatcherRig rig, int count) {
        List<FakeSocket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(rig.client());
        }
        return clients;
    }

    private static long open(List<FakeSocket> clients) {
        return clients.stream().filter(FakeSocket::open).count();
    }

    private static void expectServed(DispatcherRig rig) {
        FakeSocket usual = rig.client();
        usual.send(request("once", "usual"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, usual);
    }

    /** Guards against connections that are counted as closed and are not, as part of a request has arrived on them. */
    @Test
    void closesUnusedConnectionsThoughOthersHaveStoppedWithinARequest() throws IOException {
        DispatcherRig rig = rig();
        List<FakeSocket> stopped = connect(rig, 12);
        stopped.forEach(client -> client.send(Stopped.HEAD.sent));
        rig.advance(NEVER_USED_MILLIS);
        List<FakeSocket> unused = connect(rig, MAX_ACCEPTED - stopped.size());
        rig.advance(NEVER_USED_MILLIS);
        assertEquals(MAX_CONNECTIONS, open(stopped) + open(unused));
        assertEquals(stopped.size(), open(stopped));
        expectServed(rig);
    }

    /** Guards against clients that hold all places until their requests are overdue. */
    @ParameterizedTest
    @EnumSource(Stopped.class)
    void rejectsRequestsThatHaveStoppedWhenThereAreTooManyConnections(Stopped kind) throws IOException {
        DispatcherRig rig = rig();
        List<FakeSocket> stopped = connect(rig, MAX_ACCEPTED);
        for (int i = 0; i < MAX_ACCEPTED; i++) {
            stopped.get(i).send(kind.sentBy(i));
        }
        rig.advance(STOPPED_MILLIS);
        assertEquals(MAX_CONNECTIONS, open(stopped));
        for (FakeSocket client : stopped) {
            assertTrue(client.open() || client.output.contains("HTTP/1.1 503 "), client.output);
        }
        expectServed(rig);
    }

    /** Prevents a client that writes its request in pieces from giving way to those that say nothing or have stopped. */
    @ParameterizedTest
    @EnumSource(Stopped.class)
    void keepsAClientThatGoesOnWriting(Stopped kind) throws IOException {
        DispatcherRig rig = rig();
        FakeSocket slow = rig.client();
        String request = request("once", "slow");
        int half = request.length() / 2;
        int sent = 0;
        for (int i = 0; i < half; i++) {
            slow.send(request.substring(i, i + 1));
            while (rig.dispatcher.clients().size() < MAX_ACCEPTED) {
                rig.client().send(++sent % 2 == 0 ? "" : kind.sentBy(sent));
            }
            rig.advance(20);
        }
        slow.send(request.substring(half));
        rig.lastUsed().sendOk("done");
        expectResponse(200, slow);
    }

    /** Guards against connections that are counted as closed while a response waits that their clients do not read. */
    @Test
    void closesUnusedConnectionsThoughOthersHaveAnUnreadResponse() throws IOException {
        DispatcherRig rig = rig();
        List<FakeSocket> unread = connect(rig, 12);
        for (FakeSocket client : unread) {
            client.peerStopped = true;
            client.send("GET /_health HTTP/1.1\r\n\r\n");
        }
        rig.advance(2_100);
        List<FakeSocket> unused = connect(rig, MAX_ACCEPTED - unread.size());
        rig.advance(NEVER_USED_MILLIS);
        assertEquals(unread.size(), open(unread));
        assertEquals(MAX_CONNECTIONS - unread.size(), open(unused));
        rig.advance(500);
        assertEquals(unread.size(), open(unread), "closed in order only when the response has been sent");
    }

    /** Prevents a connection from being closed whose whole request has been read and not handled yet. */
    @Test
    void keepsAConnectionWhoseRequestHasArrived() throws IOException {
        DispatcherRig rig = rig();
        FakeSocket late = rig.client();
        String request = request("once", "late");
        late.send(request.substring(0, 20));
        List<FakeSocket> unused = connect(rig, MAX_ACCEPTED);
        rig.eventLoop.advance(STOPPED_MILLIS - 60);
        late.queueInput(request.substring(20));
        rig.eventLoop.advance(120);
        assertTrue(open(unused) <= MAX_CONNECTIONS);
        rig.lastUsed().sendOk("done");
        expectResponse(200, late);
    }
}
