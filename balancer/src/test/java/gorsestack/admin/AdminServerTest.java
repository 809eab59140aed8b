package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.LearnedLocality;
import gorsestack.proxy.EventLoopThread;
import gorsestack.settings.Limits;
import gorsestack.wire.MinaNetwork;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against lost or misapplied commands of operators, and against clients that block the admin interface. Runs the admin server on
 * loopback, with a balancer that only records its calls.
 */
class AdminServerTest {
    @TempDir
    private Path folder;

    private final EventLoopThread eventLoop = new EventLoopThread();
    private final Map<String, Long> maintenance = new ConcurrentSkipListMap<>();
    private volatile boolean evacuating;
    private volatile String receivedState;
    private InetSocketAddress address;

    private Handover handover(AdminServer adminServer) {
        return new Handover(folder, "n1", false, eventLoop, new Handover.Listener() {
            @Override
            public void onMaintenanceOrder(String upstream, long endedAt) {
                adminServer.applyOrder(upstream, endedAt);
            }

            @Override
            public void otherProcessChanged(boolean otherRuns, boolean otherAccepts) {}

            @Override
            public List<LearnedLocality> exportLearned() {
                return List.of(LearnedLocality.ofRow(1, 0.5), LearnedLocality.ofRow(2e-9));
            }

            @Override
            public void restoreLearned(List<LearnedLocality> learned) {
                receivedState = learned.toString();
            }
        });
    }

    private void start() throws IOException {
        Limits limits = Limits.of(new ObjectMapper().readTree("{\"sockets\":1024}"), new ObjectMapper().readTree("{}"));
        AdminServer adminServer = new AdminServer(limits, eventLoop, new AdminServer.Balancer() {
            @Override
            public boolean ready() {
                return !evacuating;
            }

            @Override
            public boolean isListed(String upstream) {
                return upstream.equals("s/1 é+");
            }

            @Override
            public void setMaintenance(String upstream, long endedAt) {
                maintenance.put(upstream, endedAt);
            }

            @Override
            public void evacuate(boolean enabled) {
                evacuating = enabled;
            }
        });
        adminServer.storeOrdersIn(handover(adminServer));
        try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = new InetSocketAddress(freePort.getInetAddress(), freePort.getLocalPort());
        }
        new MinaNetwork(limits, eventLoop)
                .listenSeparately(address, limits.admin().maxConnections() + 4, adminServer::newConnection);
    }

    /** Sends bytes on a new connection and returns the status code of the response. */
    private String send(String bytes) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return response.split(" ")[1];
        }
    }

    private String call(String requestLine) throws IOException {
        return send(requestLine + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    @Test
    void runsEachCommandAndRejectsInvalidRequests() throws IOException {
        start();
        String[][] rows = {
            {"GET /healthcheck", "200"},
            {"PUT /healthcheck/fail", "200"},
            {"PUT /healthcheck/fail", "200"},
            {"GET /healthcheck", "503"},
            {"PUT /healthcheck/ok", "200"},
            {"GET /healthcheck", "200"},
            {"PUT /healthcheck", "405"},
            {"GET /healthcheck/fail", "405"},
            {"GET /", "404"},
            {"GET /healthcheck/", "404"},
            {"PUT /upstreams/s2/maint", "404"},
            {"PUT /upstreams/s2/ready", "404"},
            {"PUT /upstreams/%zz/maint", "400"},
            {"PUT /upstreams//maint", "404"},
            {"POST /upstreams/s%2F1%20%C3%A9+/maint", "405"},
            {"PUT /upstreams/s%252F1%20%C3%A9+/maint", "404"}
        };
        for (String[] row : rows) {
            assertEquals(row[1], call(row[0]), row[0]);
        }
        assertEquals("400", send("noise\r\n\r\n"));
        assertEquals("431", send("GET /" + "x".repeat(20_000)));
        assertEquals("400", send("PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"));
        assertEquals(Map.of(), maintenance);
        assertTrue(!evacuating);
        String id = "PUT /upstreams/s%2F1%20%C3%A9+/";
        assertEquals("200", call(id + "ready"));
        assertEquals(Map.of(), maintenance, "back into service without maintenance changes nothing");
        assertEquals("200", call(id + "maint"));
        assertEquals("200", call(id + "maint"));
        assertEquals(Map.of("s/1 é+", Handover.NOT_ENDED), maintenance);
        assertEquals("200", call(id + "ready"));
        assertTrue(
                maintenance.get("s/1 é+") < Handover.NOT_ENDED,
                "one order ends the maintenance that was ordered twice");
    }

    /** 200 clients send nothing or an incomplete request. */
    @Test
    void respondsWhileOtherClientsAreUnresponsive() throws IOException {
        start();
        List<Socket> stuck = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Socket socket = new Socket(address.getAddress(), address.getPort());
            stuck.add(socket);
            try {
                socket.getOutputStream()
                        .write(i % 2 == 0 ? new byte[0] : "PUT /heal".getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The server closes the oldest connections when there are too many.
            }
            if (i % 20 == 19) {
                assertEquals("200", call("GET /healthcheck"));
            }
        }
        for (Socket socket : stuck) {
            socket.close();
        }
    }

    /** A successor receives the learned state of its predecessor, not the state of an earlier upgrade. */
    @Test
    void passesLearnedStateToSuccessor() throws Exception {
        AdminServer adminServer = new AdminServer(null, eventLoop, null);
        Handover predecessor = handover(adminServer);
        predecessor.start();
        Handover successor = handover(adminServer);
        successor.start();
        for (int attempt = 0; attempt < 500 && receivedState == null; attempt++) {
            Thread.sleep(10);
        }
        assertEquals("[[1.0, 0.5], [2.0E-9]]", receivedState);
        assertTrue(Files.readString(folder.resolve("gorsestack-n1.state")).contains("2.0E-9"));
    }

    /** Guards against an order that is refused by what the process remembers, as the other process was given one just before. */
    @Test
    void followsAnOrderDirectlyAfterOneToTheOtherProcess() throws Exception {
        String upstream = "PUT /upstreams/s%2F1%20%C3%A9+/";
        start();
        InetSocketAddress oldProcess = address;
        assertEquals("200", call(upstream + "maint"));
        start();
        InetSocketAddress newProcess = address;
        address = oldProcess;
        assertEquals("200", call(upstream + "ready"));
        address = newProcess;
        assertEquals("200", call(upstream + "maint"));
        assertEquals(Handover.NOT_ENDED, maintenance.get("s/1 é+"), "the later order applies");
        maintenance.clear();
        start();
        assertEquals("200", call("GET /healthcheck"));
        assertEquals(Handover.NOT_ENDED, maintenance.get("s/1 é+"), "the next process restores the later order");
        address = oldProcess;
        assertEquals("200", call(upstream + "ready"));
        assertTrue(maintenance.get("s/1 é+") < Handover.NOT_ENDED, "the later order applies");
    }

    /** The next process restores all orders; from a damaged file, those that can be verified. */
    @Test
    void restoresOrdersInTheNextProcess() throws Exception {
        start();
        assertEquals("200", call("PUT /upstreams/s%2F1%20%C3%A9+/maint"));
        Path state = folder.resolve("gorsestack-n1.state");
        String intact = Files.readString(state);
        String inMaintenance = "{s/1 é+=" + Handover.NOT_ENDED + "}";
        String[][] rows = {
            {intact, inMaintenance},
            {intact.substring(0, intact.length() - 8), inMaintenance},
            {intact.substring(0, intact.indexOf("ban") + 12), "{}"},
            {"", "{}"},
            {"\0\0\0", "{}"},
            {intact.replace("state 1", "state 2"), inMaintenance},
            {intact.replace("maint", "mount").replace("s/1", "s/2"), "{}"},
            {"gorsestack by hand 1\nout %zz\nback x y\nout s%2F1+%C3%A9%2B\nend\n", inMaintenance}
        };
        for (String[] row : rows) {
            Files.writeString(state, row[0]);
            start();
            // The request is handled after the orders that were read have been applied.
            assertEquals("200", call("GET /healthcheck"));
            assertEquals(row[1], maintenance.toString(), row[0]);
            maintenance.clear();
        }
    }
}
