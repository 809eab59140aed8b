package gorsestack.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.decision.LearnedLocality;
import gorsestack.proxy.EventLoopThread;
import gorsestack.settings.Limits;
import gorsestack.testing.Fixture;
import gorsestack.wire.MinaNetwork;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against changes of the admin interface's responses, which operators' tools parse. Compares complete responses (status line,
 * headers and body, with visible line ends) with fixtures.
 */
class AdminRepliesFormatTest {
    private static final Fixture GOOD = new Fixture("admin-replies-good.txt");
    private static final Fixture BAD = new Fixture("admin-replies-bad.txt");
    private static final Fixture NOT_WRITTEN = new Fixture("admin-replies-not-kept.txt");
    private static final String UPSTREAM_COMMAND = "PUT /upstreams/s%2F1%20%C3%A9+/";
    private static final int TIMEOUT_MS = 10_000;

    @TempDir
    private Path folder;

    private final EventLoopThread eventLoop = new EventLoopThread();
    private InetSocketAddress address;

    /** Balancer that has one upstream in its endpoint list, and is ready except during an evacuation. */
    private static final class StubBalancer implements AdminServer.Balancer {
        private volatile boolean evacuating;

        @Override
        public boolean ready() {
            return !evacuating;
        }

        @Override
        public boolean isListed(String upstream) {
            return upstream.equals("s/1 é+");
        }

        @Override
        public void setMaintenance(String upstream, long endedAt) {}

        @Override
        public ObjectNode status() {
            return new ObjectMapper().createObjectNode().put("ready", ready());
        }

        @Override
        public void evacuate(boolean enabled) {
            evacuating = enabled;
        }
    }

    /** Handover listener that ignores all notifications. */
    private static final class StubListener implements Handover.Listener {
        @Override
        public void onMaintenanceOrder(String upstream, long endedAt) {}

        @Override
        public void otherProcessChanged(boolean otherRuns, boolean otherAccepts) {}

        @Override
        public List<LearnedLocality> exportLearned() {
            return List.of();
        }

        @Override
        public void restoreLearned(List<LearnedLocality> learned) {}
    }

    @BeforeEach
    void start() throws IOException {
        ObjectMapper json = new ObjectMapper();
        Limits limits = Limits.of(json.readTree("{\"sockets\":1024}"), json.readTree("{}"));
        AdminServer adminServer = new AdminServer(limits, eventLoop, new StubBalancer());
        adminServer.incarnation(17);
        adminServer.storeOrdersIn(new Handover(folder, "n1", false, eventLoop, new StubListener()));
        try (ServerSocket freePort = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            address = new InetSocketAddress(freePort.getInetAddress(), freePort.getLocalPort());
        }
        new MinaNetwork(limits, eventLoop)
                .listenSeparately(address, limits.admin().maxConnections() + 4, adminServer::newConnection);
    }

    private String exchange(String title, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return "== " + title + "\n" + response.replace("\r", "\\r") + "\n";
        }
    }

    private String calls(String... calls) throws IOException {
        StringBuilder responses = new StringBuilder();
        for (String call : calls) {
            responses.append(exchange(call, call + " HTTP/1.1\r\nHost: x\r\n\r\n"));
        }
        return responses.toString();
    }

    @Test
    void respondsToEachCommand() throws IOException {
        GOOD.assertSame(calls(
                "GET /healthcheck",
                "GET /status",
                "PUT /healthcheck/fail",
                "GET /healthcheck",
                "GET /status",
                "PUT /healthcheck/ok",
                "GET /healthcheck",
                "PUT /trace/on",
                "PUT /trace/off",
                UPSTREAM_COMMAND + "ready",
                UPSTREAM_COMMAND + "maint",
                UPSTREAM_COMMAND + "maint",
                "GET /status",
                UPSTREAM_COMMAND + "ready",
                "GET /status"));
    }

    @Test
    void respondsToInvalidRequests() throws IOException {
        BAD.assertSame(calls(
                        "PUT /healthcheck",
                        "GET /healthcheck/fail",
                        "GET /trace/on",
                        "GET /",
                        "GET /healthcheck/",
                        "PUT /status",
                        "PUT /upstreams/s2/maint",
                        "PUT /upstreams/s2/ready",
                        "PUT /upstreams/%zz/maint",
                        "PUT /upstreams//maint",
                        "POST /upstreams/s1/maint")
                + exchange("noise", "noise\r\n\r\n")
                + exchange("a long target", "GET /" + "x".repeat(20_000))
                + exchange("a body", "PUT /healthcheck/fail HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")
                + exchange("HTTP/2.0", "GET /healthcheck HTTP/2.0\r\nHost: x\r\n\r\n"));
    }

    /** Writes of the state fail while a folder has the name of the file for the new copy. */
    @Test
    void respondsWithErrorToOrdersThatCannotBeWritten() throws IOException {
        Path obstacle = Files.createDirectory(folder.resolve("gorsestack-n1.state.new"));
        String failing = calls(
                UPSTREAM_COMMAND + "maint",
                UPSTREAM_COMMAND + "maint",
                UPSTREAM_COMMAND + "ready",
                UPSTREAM_COMMAND + "ready",
                UPSTREAM_COMMAND + "maint");
        Files.delete(obstacle);
        NOT_WRITTEN.assertSame(failing + calls(UPSTREAM_COMMAND + "maint"));
    }
}
