package gorsestack.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the faults of incident 0027 against processes that the command of the deploy file starts, in part on a quarter of a core. Guards
 * against each of them as callers saw it.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DeployedBalancerTest {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final int WAIT_MILLIS = 1_500;
    /** How much later than its time an answer may come before it counts as lost. */
    private static final int LATE_MILLIS = 500;

    private static final int FLOOD_MILLIS = 4_000;
    private static final long START_TIMEOUT_NANOS = 30_000_000_000L;
    /** Lets a process run for 10 of 40 ms. */
    private static final String QUARTER_OF_A_CORE =
            "while kill -STOP $0 2>/dev/null; do sleep 0.03; kill -CONT $0; sleep 0.01; done";

    @TempDir
    private Path folder;

    private final List<Process> processes = new ArrayList<>();
    private final ExecutorService clients = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    private ScriptedUpstream upstream;
    private int port;

    /** The first line of a response, the bytes of its body, and when it was complete, in milliseconds after the request was sent. */
    private record Answer(String status, long bodyBytes, long millis) {}

    @BeforeEach
    void startUpstream() throws IOException {
        upstream = new ScriptedUpstream();
        port = freePort();
    }

    @AfterEach
    void stop() throws Exception {
        clients.shutdownNow();
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        upstream.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private Path log(int number) {
        return folder.resolve("log" + number);
    }

    /** Starts one more process of the balancer and waits until it is ready. */
    private Process startBalancer() throws Exception {
        int number = processes.size();
        Path config = folder.resolve("config" + number + ".json");
        Files.writeString(
                config,
                Files.readString(ROOT.resolve("deploy/example.json"))
                        .replace("127.0.0.1:18000", "127.0.0.1:" + port)
                        .replace("127.0.0.1:18080", "127.0.0.1:" + upstream.port())
                        .replace("\"seed\"", "\"mgmt\": \"127.0.0.1:" + freePort() + "\", \"seed\""));
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", Deployment.deployedCommand(ROOT)).directory(ROOT.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process balancer = builder.redirectErrorStream(true)
                .redirectOutput(log(number).toFile())
                .start();
        processes.add(balancer);
        long end = System.nanoTime() + START_TIMEOUT_NANOS;
        while (!Files.readString(log(number)).contains(" is ready on ")) {
            assertTrue(balancer.isAlive() && System.nanoTime() < end, Files.readString(log(number)));
            Thread.sleep(20);
        }
        return balancer;
    }

    private void limitToQuarterOfACore(Process balancer) throws IOException {
        processes.add(new ProcessBuilder("/bin/sh", "-c", QUARTER_OF_A_CORE, Long.toString(balancer.pid())).start());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(String method, String path, String id, String framing) {
        return method + " " + path + " HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: "
                + WAIT_MILLIS + "m\r\nConnection: close\r\n" + framing + "\r\n";
    }

    /** Sends a request on a connection of its own and reads its response to the end. */
    private Answer call(String head, String body) throws IOException {
        try (Socket socket = connect()) {
            send(socket, head + body);
            long sentAt = System.nanoTime();
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            String status = response.isEmpty() ? "" : response.substring(0, response.indexOf('\r'));
            return new Answer(status, response.chars().filter(c -> c == 'y').count(), millis);
        }
    }

    private static String chunked(String body) {
        return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
    }

    private <T> List<T> inParallel(List<Callable<T>> calls) throws Exception {
        List<T> results = new ArrayList<>();
        for (Future<T> result : clients.invokeAll(calls)) {
            results.add(result.get());
        }
        return results;
    }

    @Test
    void respondsInTimeToUploadsThatAnUpstreamDoesNotRead() throws Exception {
        startBalancer();
        List<Callable<Answer>> calls = new ArrayList<>();
        for (int bytes : new int[] {150_000, 300_000, 940_000, 2_500_000}) {
            String body = "x".repeat(bytes);
            calls.add(() -> call(head("POST", "/write/stuck", "l" + bytes, "Content-Length: " + bytes + "\r\n"), body));
            calls.add(() ->
                    call(head("POST", "/write/stuck", "c" + bytes, "Transfer-Encoding: chunked\r\n"), chunked(body)));
        }
        for (Answer answer : inParallel(calls)) {
            assertTrue(answer.status.startsWith("HTTP/1.1 "), answer.toString());
            assertTrue(answer.millis < WAIT_MILLIS + LATE_MILLIS, answer.toString());
        }
    }

    @Test
    void passesOnResponsesThatAnUpstreamWritesInLumps() throws Exception {
        startBalancer();
        for (String framing : new String[] {"length", "chunked", "close"}) {
            for (String product : new String[] {"read", "write"}) {
                String path = "/" + product + "/lumps-" + framing;
                boolean read = product.equals("read");
                Answer answer = call(
                        head(read ? "GET" : "POST", path, product + framing, read ? "" : "Content-Length: 0\r\n"), "");
                assertEquals("HTTP/1.1 200 OK", answer.status, path);
                assertEquals((long) ScriptedUpstream.LUMPS * ScriptedUpstream.LUMP_BYTES, answer.bodyBytes, path);
            }
        }
    }

    @Test
    void servesOthersOnAQuarterOfACoreBesideAClientThatSendsSmallChunks() throws Exception {
        limitToQuarterOfACore(startBalancer());
        AtomicBoolean flooding = new AtomicBoolean(true);
        Future<?> flood = clients.submit(() -> floodWithChunks(flooding));
        long end = System.nanoTime() + FLOOD_MILLIS * 1_000_000L;
        for (int i = 0; System.nanoTime() < end; i++) {
            Answer answer = call(head("GET", "/read/now", "u" + i, ""), "");
            assertTrue(answer.status.startsWith("HTTP/1.1 "), "call " + i + " has no answer");
            assertTrue(answer.millis < WAIT_MILLIS, "call " + i + ": " + answer);
        }
        flooding.set(false);
        flood.get();
        assertTrue(processes.get(0).isAlive());
        assertFalse(Files.readString(log(0)).contains("OutOfMemoryError"));
    }

    private Void floodWithChunks(AtomicBoolean flooding) throws IOException {
        for (int i = 0; flooding.get(); i++) {
            try (Socket client = connect()) {
                send(client, head("POST", "/write/now", "flood" + i, "Transfer-Encoding: chunked\r\n"));
                while (flooding.get()) {
                    send(client, "1\r\nx\r\n".repeat(1_000));
                }
            } catch (IOException e) {
                // The balancer has refused this one; the next connection goes on.
            }
        }
        return null;
    }

    @Test
    void executesACallOnceThoughItComesAgainDuringAnUpgrade() throws Exception {
        startBalancer();
        startBalancer();
        for (int i = 0; i < 12; i++) {
            String request = head("POST", "/write/slow", "once" + i, "Content-Length: 2\r\n") + "hi";
            try (Socket leaving = connect()) {
                send(leaving, request);
                Thread.sleep(100);
            }
            Answer again = call(request, "");
            assertEquals("HTTP/1.1 409 Conflict", again.status, "call " + i);
        }
        assertEquals(12, upstream.executed.size(), upstream.executed.toString());
    }
}
