package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.wire.WatchEvent;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a new process at the address of one that has gone is not taken for the old one. */
class ReplacedUpstreamTest {
    /** Time after which a connection that has become idle is used again. */
    private static final int STEP_MILLIS = 20;

    private final AddressOwners owners = new AddressOwners();

    private static String entry(String name, int host, String status, long since) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.1." + host + ":80\",\"zone\":\"b\",\"status\":\""
                + status + "\",\"since_ms\":" + since + "}";
    }

    private static WatchEvent event(EndpointUpdate.Kind kind, String... entries) throws IOException {
        return WatchEvent.read(
                new ObjectMapper().readTree("{\"index\":50,\"endpoints\":[" + String.join(",", entries) + "]}"), kind);
    }

    /** Applies an event; returns the upstreams that it adds or keeps, and those that it removes with a minus sign. */
    private List<String> apply(EndpointUpdate.Kind kind, String... entries) throws IOException {
        return owners.withoutDisplaced(event(kind, entries)).update().endpoints().stream()
                .map(endpoint -> (endpoint.state() == EndpointState.GONE ? "-" : "") + endpoint.id())
                .toList();
    }

    /** Guards against calls for an upstream that has gone, but is still listed, which reach another one at its address. */
    @ParameterizedTest
    @CsvSource({"0, DELTA", "1000, DELTA", "0, SNAPSHOT", "1000, SNAPSHOT"})
    void sendsNothingMoreToAnUpstreamWhoseAddressAnotherOneHas(long since, EndpointUpdate.Kind kind)
            throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket old = rig.lastUsed();
        old.sendOk("old");
        expectResponse(200, client);
        rig.dispatcher.watchEvent(
                event(kind, DispatcherRig.endpoint(1, "in_service"), entry("new", 1, "in_service", since)));
        rig.runPending();
        assertFalse(old.open(), "a connection to the process that has gone is not kept");
        rig.advance(20);
        client.send(request("read", "c2"));
        assertNotSame(old, rig.lastUsed());
        rig.lastUsed().sendOk("new");
        expectResponse(200, client);
        rig.dispatcher.watchEvent(event(EndpointUpdate.Kind.DELTA, entry("new", 1, "terminating", since)));
        rig.advance(20);
        int connections = rig.upstreamConnections().size();
        client.send(request("read", "c3"));
        expectResponse(429, client);
        assertEquals(connections, rig.upstreamConnections().size(), "nothing is sent for the old one");
    }

    @Test
    void removesTheUpstreamThatWasReplaced() throws IOException {
        assertEquals(
                List.of("a", "b"),
                apply(EndpointUpdate.Kind.SNAPSHOT, entry("a", 1, "in_service", 0), entry("b", 2, "in_service", 0)));
        assertEquals(List.of("-a", "c"), apply(EndpointUpdate.Kind.DELTA, entry("c", 1, "in_service", 9)));
        assertEquals(List.of(), apply(EndpointUpdate.Kind.DELTA, entry("a", 1, "terminating", 0)));
        assertEquals(
                List.of("c", "b"),
                apply(
                        EndpointUpdate.Kind.SNAPSHOT,
                        entry("a", 1, "in_service", 0),
                        entry("c", 1, "in_service", 9),
                        entry("b", 2, "in_service", 0)));
        assertEquals(List.of("-a"), apply(EndpointUpdate.Kind.DELTA, entry("a", 1, "terminated", 0)));
    }

    /** Prevents an upstream from being kept out that has moved, or has its address back. */
    @Test
    void keepsUpstreamsWithAddressesOfTheirOwn() throws IOException {
        apply(EndpointUpdate.Kind.SNAPSHOT, entry("a", 1, "in_service", 0), entry("b", 2, "in_service", 0));
        assertEquals(
                List.of("a", "b"),
                apply(EndpointUpdate.Kind.DELTA, entry("a", 3, "in_service", 0), entry("b", 1, "in_service", 0)),
                "a has moved before b takes its address");
        assertEquals(List.of("-b", "c"), apply(EndpointUpdate.Kind.DELTA, entry("c", 1, "in_service", 0)));
        assertEquals(List.of("b"), apply(EndpointUpdate.Kind.DELTA, entry("b", 5, "in_service", 0)));
        assertEquals(List.of("-c"), apply(EndpointUpdate.Kind.DELTA, entry("c", 1, "terminated", 0)));
        assertEquals(List.of("b"), apply(EndpointUpdate.Kind.DELTA, entry("b", 1, "in_service", 0)));
        assertEquals(
                List.of("-d"),
                apply(EndpointUpdate.Kind.DELTA, entry("d", 1, "terminating", 0)),
                "one that drains is old");
    }

    /**
     * Guards against a deduplicated call that runs in two groups, or is not repeated at all: its upstream loses its entry while the call is
     * under way there, and a message that removes an upstream may tell neither its zone nor its cell. The upstreams of the case are s1 and s2
     * in zone "b" and cell 1, and s3 in zone "a" and cell 0.
     */
    @ParameterizedTest
    @CsvSource({
        "mark, DELTA, replaced",
        "mark, DELTA, removed",
        "mark, SNAPSHOT, replaced",
        "mark, SNAPSHOT, removed",
        "mark-in-cell, DELTA, replaced",
        "mark-in-cell, DELTA, removed",
        "mark-in-cell, SNAPSHOT, replaced",
        "mark-in-cell, SNAPSHOT, removed",
    })
    void repeatsACallUnderWayWithinTheGroupOfItsFirstAttempt(String product, EndpointUpdate.Kind kind, String howItGoes)
            throws IOException {
        String first = entryInCell("s1", 1, "b", 1);
        String second = entryInCell("s2", 2, "b", 1);
        String otherGroup = entryInCell("s3", 3, "a", 0);
        DispatcherRig rig = new DispatcherRig("{\"sockets\":1024}", first, second);
        earnRetryBudget(rig);
        rig.dispatcher.watchEvent(event(EndpointUpdate.Kind.DELTA, otherGroup));
        rig.dispatcher.watchEvent(event(EndpointUpdate.Kind.DELTA, "{\"name\":\"s3\",\"status\":\"terminating\"}"));
        rig.client().send(request(product, "c1"));
        FakeSocket vanished = rig.lastUsed();
        rig.dispatcher.watchEvent(event(EndpointUpdate.Kind.DELTA, otherGroup));
        String gone = hostOf(vanished) == 1 ? "s1" : "s2";
        String staying = hostOf(vanished) == 1 ? second : first;
        String successor = howItGoes.equals("replaced")
                ? entryInCell("s4", hostOf(vanished), "b", 1)
                : "{\"name\":\"" + gone + "\",\"status\":\"terminated\"}";
        rig.dispatcher.watchEvent(
                kind == EndpointUpdate.Kind.DELTA
                        ? event(kind, successor)
                        : event(kind, staying, otherGroup, successor));
        rig.advance(700);
        List<FakeSocket> sentTo = rig.upstreamConnections().stream()
                .filter(socket -> socket.output.contains("c1"))
                .toList();
        assertEquals(2, sentTo.size(), "the first attempt and one repeat");
        assertTrue(sentTo.stream().allMatch(socket -> hostOf(socket) != 3), "no repeat in another group");
    }

    /**
     * Guards against a deduplicated call that is repeated at a process of another group: its upstream's address had changed hands before the
     * call came, and the list does not tell so yet. Contact is lost by an idle connection that ends, and by a connect that is refused.
     */
    @ParameterizedTest
    @CsvSource({"mark, ended", "mark, refused", "mark-in-cell, ended", "mark-in-cell, refused"})
    void repeatsNoCallWhereContactWasLostBeforeItCame(String product, String how) throws IOException {
        DispatcherRig rig =
                new DispatcherRig("{\"sockets\":1024}", entryInCell("s1", 1, "a", 1), entryInCell("s2", 2, "a", 1));
        earnRetryBudget(rig);
        FakeSocket lost = rig.upstreamConnections().get(0);
        if (how.equals("ended")) {
            lost.queueDisconnect();
            rig.runPending();
        } else {
            refuseAConnect(rig, hostOf(lost));
        }
        assertEquals(1, upstreamsThatGotFailingCall(rig, product, "c1"), "no repeat at or after the one in doubt");
        assertEquals(1, upstreamsThatGotFailingCall(rig, product, "c2"), "no repeat at or after the one in doubt");
    }

    /** The process is still there: it responds on a connection from before, or the list has named it for long enough. */
    @ParameterizedTest
    @CsvSource({"response", "list"})
    void repeatsCallsAgainOnceTheUpstreamIsKnownToBeThere(String sign) throws IOException {
        DispatcherRig rig = DispatcherRig.withWatch(2);
        rig.sendWatchLine("{\"index\":42,\"snapshot\":true,\"endpoints\":[" + entryInCell("s1", 1, "a", 1) + ","
                + entryInCell("s2", 2, "a", 1) + "]}");
        earnRetryBudget(rig);
        FakeSocket lost = rig.upstreamConnections().get(0);
        if (sign.equals("response")) {
            FakeSocket other = openSecondConnection(rig, hostOf(lost));
            lost.queueDisconnect();
            rig.runPending();
            answerACallOn(rig, other);
        } else {
            lost.queueDisconnect();
            for (int i = 0; i < 25; i++) {
                rig.advance(1_000);
                rig.sendWatchLine("");
            }
        }
        assertEquals(2, upstreamsThatGotFailingCall(rig, "mark", "c1"));
    }

    /** Guards against a request that waits for a connection while contact with its upstream is lost, and reaches the successor. */
    @Test
    void withdrawsARequestThatWaitsForAConnectionWhenContactIsLost() throws IOException {
        DispatcherRig rig =
                new DispatcherRig("{\"sockets\":1024}", entryInCell("s1", 1, "a", 1), entryInCell("s2", 2, "a", 1));
        earnRetryBudget(rig);
        List<FakeSocket> established = rig.upstreamConnections();
        established.forEach(socket -> rig.client().send(request("read", "busy" + hostOf(socket))));
        rig.connectsAtOnce = false;
        rig.client().send(request("mark", "c1"));
        FakeSocket waiting = rig.lastUsed();
        assertFalse(waiting.wasEstablished);
        established.stream().filter(socket -> hostOf(socket) == hostOf(waiting)).forEach(FakeSocket::queueDisconnect);
        rig.runPending();
        waiting.connect();
        assertEquals("", waiting.output);
    }

    /** An upload that is under way on its own connection goes on: it cannot be sent again. */
    @Test
    void keepsAnUploadUnderWayWhenAnotherConnectionIsLost() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        earnRetryBudget(rig);
        FakeSocket idle = rig.lastUsed();
        rig.client().send(request("read", "busy"));
        FakeSocket client = rig.client();
        client.sendInReads("POST /mark HTTP/1.1\r\nX-Correlation-Id: c1\r\nX-Time-Left: 2000m\r\nIdempotency-Key: k\r\n"
                + "Content-Length: 400000\r\n\r\n" + "x".repeat(200_000));
        FakeSocket upload = rig.lastUsed();
        assertTrue(upload.output.contains("c1"));
        assertNotSame(idle, upload);
        idle.queueDisconnect();
        rig.runPending();
        assertTrue(upload.open());
        assertEquals("", client.output);
    }

    /** Lets all connections time out, and makes calls until one needs a new connection to this host, which is refused. */
    private static void refuseAConnect(DispatcherRig rig, int host) {
        rig.advance(31_000);
        rig.connectsAtOnce = false;
        for (int i = 0; hostOf(rig.lastUsed()) != host || rig.lastUsed().wasEstablished; i++) {
            rig.client().send(request("read", "refused" + i));
        }
        rig.lastUsed().queueDisconnect();
        rig.connectsAtOnce = true;
        rig.advance(1_000);
        rig.upstreamConnections().forEach(FakeSocket::takeOutput);
    }

    /** Opens a second connection to this host and lets both respond; returns the second one. */
    private static FakeSocket openSecondConnection(DispatcherRig rig, int host) {
        for (int i = 0; connectionsTo(rig, host).size() < 2; i++) {
            rig.client().send(request("read", "busy" + i));
        }
        rig.upstreamConnections().stream()
                .filter(socket -> socket.output.contains("busy"))
                .forEach(socket -> socket.sendOk("x"));
        rig.advance(STEP_MILLIS);
        return connectionsTo(rig, host).get(1);
    }

    private static List<FakeSocket> connectionsTo(DispatcherRig rig, int host) {
        return rig.upstreamConnections().stream()
                .filter(socket -> hostOf(socket) == host)
                .toList();
    }

    /** Makes calls, which are answered at once, until one is answered on this connection. */
    private static void answerACallOn(DispatcherRig rig, FakeSocket connection) {
        FakeSocket answered;
        do {
            rig.client().send(request("read", "next"));
            answered = rig.lastUsed();
            answered.sendOk("x");
            rig.advance(STEP_MILLIS);
        } while (answered != connection);
    }

    /** Makes a call, fails each of its attempts, and returns how many upstreams have got it. */
    private static long upstreamsThatGotFailingCall(DispatcherRig rig, String product, String id) {
        rig.client().send(request(product, id));
        for (int i = 0; i < 4; i++) {
            if (rig.lastUsed().output.contains(id)) {
                rig.lastUsed().send("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
            }
            rig.advance(100);
        }
        return rig.upstreamConnections().stream()
                .filter(socket -> socket.output.contains(id))
                .mapToInt(ReplacedUpstreamTest::hostOf)
                .distinct()
                .count();
    }

    private static String entryInCell(String name, int host, String zone, int cell) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.1." + host + ":80\",\"zone\":\"" + zone + "\",\"group\":"
                + cell + ",\"status\":\"in_service\"}";
    }

    private static int hostOf(FakeSocket socket) {
        return socket.remoteAddress.getAddress().getAddress()[3];
    }

    /** Makes calls that are answered at once, which earns the budget of a hedged request. */
    private static void earnRetryBudget(DispatcherRig rig) {
        for (int i = 0; i < 40; i++) {
            FakeSocket client = rig.client();
            client.send(request("read", "w" + i));
            rig.lastUsed().sendOk("x");
            rig.advance(STEP_MILLIS);
        }
        rig.upstreamConnections().forEach(FakeSocket::takeOutput);
    }

    /** Guards against a deduplicated call that is repeated at a process that does not know that it may have run. */
    @Test
    void repeatsADeduplicatedCallNotWhereTheConnectionWasLost() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("mark", "c1"));
        FakeSocket lost = rig.lastUsed();
        assertTrue(lost.output.contains("c1"));
        lost.queueDisconnect();
        rig.runPending();
        rig.advance(2_000);
        assertEquals(1, rig.upstreamConnections().size(), "the address may be that of another process by now");
        assertTrue(client.output.startsWith("HTTP/1.1 50"), client.output);
    }
}
