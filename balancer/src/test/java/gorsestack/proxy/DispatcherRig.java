package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointUpdate;
import gorsestack.settings.Limits;
import gorsestack.settings.SettingsReader;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.ManualEventLoop;
import gorsestack.wire.StubNetwork;
import gorsestack.wire.WatchEvent;
import gorsestack.wire.WatchMessages;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** A balancer on fake sockets and a clock that the test advances. The test acts as clients, upstreams and discovery. */
final class DispatcherRig extends StubNetwork {
    static final long MS = 1_000_000;
    static final InetSocketAddress DISCOVERY = WatchEvent.address("127.0.0.1:8500");
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final String SETTINGS = """
        {"az":"a","zones":["a"],"replicasOfMe":1,"tier":1,"step":5,"membershipMode":"subscribe",
         "limits":{"connIdle":30000,"connectTimeout":120,"mayCancel":true,"mostShots":4,"secondCopies":true,
           "retryAfter":true,"maxRetryAfter":1500},
         "rules":{"askWithin":10000,"cold":20000,"coldShare":0.2,"fallMultiple":2.5},
         "products":[{"name":"read","clientTimeout":3000,"latencySlo":1000,"semantics":"free"},
           {"name":"once","clientTimeout":3000,"latencySlo":1000,"semantics":"single_shot"},
           {"name":"mark","clientTimeout":3000,"latencySlo":1000,"semantics":"guarded","keyScope":"zone",
            "repeatWindow":5000},
           {"name":"mark-in-cell","clientTimeout":3000,"latencySlo":1000,"semantics":"guarded","keyScope":"cell",
            "repeatWindow":5000}]}""";

    final ManualEventLoop eventLoop = new ManualEventLoop(START_MILLIS);
    final CallDispatcher dispatcher;
    /** All connections that the balancer has opened to upstreams and to discovery, in order. */
    final List<FakeSocket> connections = new ArrayList<>();
    /** Whether a connection is established as soon as the balancer opens it. */
    boolean connectsAtOnce = true;

    private final Supplier<ConnectionHandler> clientHandlers;
    private FakeSocket lastUsed;

    DispatcherRig(String limitsJson, String... endpoints) throws IOException {
        var json = new ObjectMapper();
        var settings = json.readTree(SETTINGS);
        Limits limits = Limits.of(json.readTree(limitsJson), settings);
        dispatcher = new CallDispatcher(eventLoop, limits, SettingsReader.read(settings), 7, this, DISCOVERY, 41);
        clientHandlers = () -> new ClientConnection(limits, eventLoop, dispatcher);
        dispatcher.watchEvent(WatchEvent.read(
                json.readTree("{\"index\":41,\"endpoints\":[" + String.join(",", endpoints) + "]}"),
                EndpointUpdate.Kind.CACHED));
        dispatcher.acceptCalls();
    }

    /** Returns a balancer with {@code count} upstreams in service, named s1, s2 and so on. */
    static DispatcherRig withUpstreams(int count) throws IOException {
        String[] endpoints = new String[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = endpoint(i + 1, "in_service");
        }
        return new DispatcherRig("{\"sockets\":1024}", endpoints);
    }

    /** Returns a balancer with that many upstreams and an established watch of the endpoint list. */
    static DispatcherRig withWatch(int upstreams) throws IOException {
        DispatcherRig rig = withUpstreams(upstreams);
        rig.advance(2_100);
        assertNotNull(rig.watch());
        assertTrue(rig.watch().output.startsWith("GET /catalog/members?watch=1&after=41 HTTP/1.1\r\n"));
        rig.watch().send(WatchMessages.RESPONSE_HEAD);
        return rig;
    }

    /** Returns an entry of the endpoint list. */
    static String endpoint(int number, String status) {
        return "{\"name\":\"s" + number + "\",\"address\":\"127.0.1." + number + ":80\",\"zone\":\"a\",\"status\":\""
                + status + "\"}";
    }

    /** Asserts that exactly one response, with this status, was written to the client, and removes it from the output. */
    static void expectResponse(int status, FakeSocket client) {
        assertTrue(client.output.startsWith("HTTP/1.1 " + status + " "), client.output);
        assertEquals(client.output.lastIndexOf("HTTP/1.1 "), 0, client.output);
        client.takeOutput();
    }

    long now() {
        return eventLoop.now();
    }

    void execute(Runnable task) {
        eventLoop.execute(task);
    }

    void runPending() {
        eventLoop.runPending();
    }

    void advance(long millis) {
        eventLoop.advance(millis);
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        FakeSocket socket = new FakeSocket(this, handler, address);
        connections.add(socket);
        recordUse(socket);
        if (connectsAtOnce) {
            socket.queueConnect();
        }
    }

    /** Connects a client. */
    FakeSocket client() {
        FakeSocket socket = new FakeSocket(this, clientHandlers.get(), null);
        socket.connect();
        return socket;
    }

    /** Records that a connection was opened or written to. */
    void recordUse(FakeSocket socket) {
        if (socket.toUpstream()) {
            lastUsed = socket;
        }
    }

    /** Returns the connections that were opened to upstreams, in order. */
    List<FakeSocket> upstreamConnections() {
        return connections.stream().filter(FakeSocket::toUpstream).toList();
    }

    /** Returns the upstream connection that was opened or written to last. */
    FakeSocket lastUsed() {
        return lastUsed;
    }

    /** Returns the newest connection to a port. */
    FakeSocket lastTo(int port) {
        List<FakeSocket> matching = connections.stream()
                .filter(socket -> socket.remoteAddress.getPort() == port)
                .toList();
        return matching.get(matching.size() - 1);
    }

    /** Returns the newest connection to discovery, or null if there is none. */
    FakeSocket watch() {
        List<FakeSocket> watches = connections.stream()
                .filter(socket -> socket.remoteAddress.equals(DISCOVERY))
                .toList();
        return watches.isEmpty() ? null : watches.get(watches.size() - 1);
    }

    /** Sends one line of the endpoint list on the watch. */
    void sendWatchLine(String line) {
        watch().send(WatchMessages.chunk(line + "\n"));
    }
}
