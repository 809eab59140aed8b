package gorsestack.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.testing.BalancerCommand;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs a process with the deployment file's heap. Guards against clients that use up the heap together: the thread of all sockets ended with
 * an OutOfMemoryError, and the process answered nothing any more.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientFloodTest {
    private static final int CLIENTS = 300;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String HEAD = "POST /write HTTP/1.1\r\nX-Correlation-Id: %d\r\nX-Time-Left: 3000m\r\n";

    /** The part of a request that a client sends before it stops. */
    private enum Incomplete {
        HALF_BODY(HEAD + "Content-Length: 65536\r\n\r\n" + "x".repeat(65_000)),
        HEAD_OF_MANY_SHORT_FIELDS(HEAD + "Content-Length: 2000\r\n" + "a:\r\n".repeat(3_900) + "\r\nhalf");

        private final String sent;

        Incomplete(String sent) {
            this.sent = sent;
        }
    }

    @TempDir
    private Path folder;

    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private int port;

    private Process startBalancer() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, loopback)) {
            port = any.getLocalPort();
        }
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                Files.readString(Path.of("deploy/example.json")).replace("127.0.0.1:18000", "127.0.0.1:" + port));
        List<String> command = BalancerCommand.serve("-Xms36m", "-Xmx36m", "-XX:+UseSerialGC");
        command.addAll(List.of("--config", config.toString()));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(loopback, port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static String statusLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                .readLine();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String call(String request) throws IOException {
        try (Socket socket = connect()) {
            send(socket, request);
            return statusLine(socket);
        }
    }

    private String health() {
        try {
            return call("GET /_health HTTP/1.1\r\nHost: n\r\n\r\n");
        } catch (IOException e) {
            return "";
        }
    }

    private void awaitReady() throws InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!health().contains(" 200 ")) {
            assertTrue(System.nanoTime() < end, "the balancer becomes ready");
            Thread.sleep(50);
        }
    }

    @ParameterizedTest
    @EnumSource(Incomplete.class)
    void respondsToEveryClientWhenHundredsStopWithinARequest(Incomplete incomplete) throws Exception {
        Process balancer = startBalancer();
        List<Socket> stopped = new ArrayList<>();
        try {
            awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                Socket client = connect();
                stopped.add(client);
                send(client, incomplete.sent.formatted(i));
            }
            // The example's upstream does not exist, so the call is rejected.
            assertEquals(
                    "HTTP/1.1 429 Too Many Requests",
                    call("GET /read HTTP/1.1\r\nX-Correlation-Id: usual\r\nX-Time-Left: 3000m\r\n\r\n"));
            for (Socket client : stopped) {
                String status = statusLine(client);
                assertTrue(status.contains(" 408 ") || status.contains(" 503 "), status);
            }
            assertTrue(health().contains(" 200 "));
            String log = Files.readString(folder.resolve("log"));
            assertFalse(log.contains("OutOfMemoryError") || log.contains("task failed"), log);
        } finally {
            for (Socket client : stopped) {
                client.close();
            }
            balancer.destroyForcibly().waitFor();
        }
    }
}
