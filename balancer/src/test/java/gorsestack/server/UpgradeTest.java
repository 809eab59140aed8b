package gorsestack.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import gorsestack.testing.BalancerCommand;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs real processes of one balancer, or of a fleet, on loopback: takeover by a successor, recovery after a kill, and large bodies. */
class UpgradeTest {
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @TempDir
    private Path folder;

    private final List<Process> started = new ArrayList<>();
    private final AtomicInteger[] requests = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
    private final List<HttpServer> upstreams = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();

    @AfterEach
    void end() {
        started.forEach(Process::destroyForcibly);
        upstreams.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }

    private static int port() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private Process run(int mgmt, String memory) throws Exception {
        return run(folder.resolve("config.json"), folder, mgmt, memory);
    }

    private Process run(Path config, Path temporary, int mgmt, String memory) throws Exception {
        ProcessBuilder run = new ProcessBuilder(BalancerCommand.serve(memory, "-XX:+UseSerialGC"));
        run.environment().put("ROUTER_CONFIG", config.toString());
        run.environment().put("ROUTER_MGMT", "127.0.0.1:" + mgmt);
        run.environment().put("TMPDIR", temporary.toString());
        Process process = run.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log" + mgmt).toFile())
                .start();
        started.add(process);
        until("ready", () -> process.isAlive() && adminRequest(mgmt, "GET", "/healthcheck") == 200);
        return process;
    }

    private static int adminRequest(int mgmt, String method, String path) {
        try {
            return HTTP.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mgmt + path))
                                    .timeout(Duration.ofSeconds(1))
                                    .method(method, HttpRequest.BodyPublishers.noBody())
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void until(String condition, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, condition);
            Thread.sleep(20);
        }
    }

    private int configure() throws Exception {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < requests.length; i++) {
            int index = i;
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
            server.createContext("/", exchange -> {
                requests[index].incrementAndGet();
                exchange.getRequestBody().readAllBytes();
                exchange.sendResponseHeaders(200, 2);
                exchange.getResponseBody().write(new byte[] {'o', 'k'});
                exchange.close();
            });
            server.setExecutor(executor);
            server.start();
            upstreams.add(server);
            known.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"s" + i + "\",\"address\":\"127.0.0.1:"
                            + server.getAddress().getPort() + "\",\"zone\":\"a\",\"status\":\"in_service\"}");
        }
        int port = port();
        String example = Files.readString(Path.of("deploy/example.json"));
        Files.writeString(
                folder.resolve("config.json"),
                example.replace("127.0.0.1:18000", "127.0.0.1:" + port)
                        .replace("127.0.0.1:18500", "127.0.0.1:" + port())
                        .replaceFirst("(?s)\"endpoints\": \\[.*?\\]", "\"endpoints\": [" + known + "]"));
        return port;
    }

    /**
     * Guards against calls that are lost when the predecessor exits, and against maintenance orders that do not reach both processes or are
     * not in effect in the next process.
     */
    @Test
    void successorTakesOverWithoutLosingCallsOrMaintenanceOrders() throws Exception {
        int port = configure();
        int first = port();
        int second = port();
        Process predecessor = run(first, "-Xmx40m");
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger served = new AtomicInteger();
        List<String> failures = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String name = "c" + i + "-";
            clients.add(new Thread(() -> {
                HttpClient http = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build();
                for (int n = 0; !stopped.get(); n++) {
                    try {
                        HttpResponse<String> response = http.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/read"))
                                        .header("X-Correlation-Id", name + n)
                                        .header("X-Time-Left", "2000m")
                                        .timeout(Duration.ofSeconds(5))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                        if (response.statusCode() == 200) {
                            served.incrementAndGet();
                        }
                        Thread.sleep(10);
                    } catch (IOException | InterruptedException e) {
                        synchronized (failures) {
                            failures.add(name + n + ": " + e);
                        }
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        until(
                "all three upstreams serve",
                () -> requests[0].get() > 5 && requests[1].get() > 5 && requests[2].get() > 5);
        assertEquals(200, adminRequest(first, "PUT", "/upstreams/s0/maint"));
        run(second, "-Xmx40m");
        assertEquals(200, adminRequest(second, "PUT", "/upstreams/s1/maint"));
        Thread.sleep(600);
        int[] countsBefore = {requests[0].get(), requests[1].get(), requests[2].get()};
        Thread.sleep(600);
        assertEquals(
                countsBefore[0],
                requests[0].get(),
                "no request to s0, which was put into maintenance before the second process started");
        assertEquals(
                countsBefore[1],
                requests[1].get(),
                "no request to s1, which an order to the second process put into maintenance in both");
        assertTrue(requests[2].get() > countsBefore[2]);
        assertEquals(200, adminRequest(first, "GET", "/healthcheck"));
        predecessor.destroy();
        assertTrue(predecessor.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, predecessor.exitValue());
        assertEquals(200, adminRequest(second, "PUT", "/upstreams/s0/ready"));
        until("back", () -> requests[0].get() > countsBefore[0]);
        assertEquals(countsBefore[1], requests[1].get());
        stopped.set(true);
        for (Thread client : clients) {
            client.join(10_000);
        }
        assertEquals(List.of(), failures);
        assertTrue(served.get() > 100, served + " served");
        // The next process starts with the stored orders, even though the one before was killed.
        started.get(1).destroyForcibly().waitFor();
        int third = port();
        run(third, "-Xmx40m");
        assertEquals(200, adminRequest(third, "PUT", "/upstreams/s1/ready"));
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(
                    4,
                    files.filter(f -> f.getFileName().toString().startsWith("gorsestack-"))
                            .count(),
                    "the state file, its previous version, the lock file and the table of executed calls");
        }
    }

    private static int read(int port, String id) throws Exception {
        return HTTP.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/read"))
                                .header("X-Correlation-Id", id)
                                .header("X-Time-Left", "2000m")
                                .timeout(Duration.ofSeconds(5))
                                .build(),
                        HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** Returns the output of the command {@code status --json} and checks its exit code. */
    private static String status(int mgmt, int code) {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        java.io.PrintStream originalOut = System.out;
        System.setOut(new java.io.PrintStream(out, true, java.nio.charset.StandardCharsets.UTF_8));
        try {
            assertEquals(
                    code,
                    new picocli.CommandLine(new gorsestack.Main()).execute("status", "--json", "127.0.0.1:" + mgmt));
        } finally {
            System.setOut(originalOut);
        }
        return out.toString(java.nio.charset.StandardCharsets.UTF_8);
    }

    /** Guards against a process that, restarted after a kill while discovery is down, has no endpoints or has lost maintenance orders. */
    @Test
    void restoresEndpointsAndMaintenanceOrdersAfterKillWithoutDiscovery() throws Exception {
        int port = configure();
        Path config = folder.resolve("config.json");
        Path stateFolder = folder.resolve("kept");
        HttpServer discovery = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
        String known = Files.readString(config).replaceFirst("(?s).*?\"endpoints\": (\\[.*?\\]).*", "$1");
        AtomicInteger polls = new AtomicInteger();
        discovery.createContext("/", exchange -> {
            polls.incrementAndGet();
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody()
                    .write(("{\"index\":50,\"snapshot\":true,\"endpoints\":" + known.replace("\n", "") + "}\n")
                            .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            exchange.getResponseBody().flush(); // the response stays open
        });
        discovery.setExecutor(executor);
        discovery.start();
        upstreams.add(discovery);
        // The configuration lists no upstream, so that endpoints come from discovery and then from the state file.
        Files.writeString(
                config,
                Files.readString(config)
                        .replace(known, "[]")
                        .replaceFirst(
                                "\"discovery\": \"[^\"]*\"",
                                "\"discovery\": \"127.0.0.1:"
                                        + discovery.getAddress().getPort() + "\", \"state\": \"" + stateFolder + "\""));
        int mgmt = port();
        Process first = run(mgmt, "-Xmx40m");
        until(
                "the endpoint list is received",
                () -> polls.get() > 0 && adminRequest(mgmt, "PUT", "/upstreams/s0/maint") == 200);
        assertEquals(200, read(port, "a"));
        Path file = stateFolder.resolve("gorsestack-"
                + java.net.URLEncoder.encode("n1/127.0.0.1:" + port, java.nio.charset.StandardCharsets.UTF_8)
                + ".state");
        until("kept", () -> {
            try {
                return Files.exists(file) && Files.readString(file).contains("\"is\":\"member\"");
            } catch (IOException e) {
                return false;
            }
        });
        until("the recovery is complete", () -> {
            try {
                read(port, "w" + System.nanoTime());
                return status(mgmt, 0).contains("\"step\":\"full\"");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(status(mgmt, 0).contains("\"outByHand\":[\"s0\"]"), status(mgmt, 0));
        first.destroyForcibly().waitFor();
        discovery.stop(0);
        int before = requests[0].get();
        int restartedMgmt = port();
        run(restartedMgmt, "-Xmx40m");
        for (int i = 0; i < 20; i++) {
            assertEquals(200, read(port, "b" + i));
        }
        assertEquals(before, requests[0].get(), "s0 stays in maintenance after the kill");
        String coldStatus = status(restartedMgmt, 0);
        assertTrue(
                coldStatus.contains("\"step\":\"cold\"")
                        && coldStatus.contains("\"upstreams\":3")
                        && !coldStatus.contains("confirmedMsAgo"),
                coldStatus);
        assertEquals(
                "ready; cold",
                HTTP.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/_health"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .body()
                        .strip());
        status(port(), 2); // no process listens on this port
        assertEquals(200, adminRequest(restartedMgmt, "PUT", "/upstreams/s0/ready"));
        String log = Files.readString(folder.resolve("log" + restartedMgmt));
        assertTrue(log.contains("restored an endpoint list of 3 upstreams"), log);
        // A balancer whose state folder cannot be created runs without one.
        started.get(1).destroyForcibly().waitFor();
        Files.writeString(
                config,
                Files.readString(config)
                        .replace(
                                stateFolder.toString(),
                                folder.resolve("config.json/x").toString()));
        int third = port();
        run(third, "-Xmx40m");
        assertTrue(Files.readString(folder.resolve("log" + third)).contains("state is not persisted"));
    }

    /** Guards against maintenance orders that are lost with the state folder; the peers of the balancer have replicas of them. */
    @Test
    void restoresMaintenanceOrdersFromPeersWhenStateIsLost() throws Exception {
        configure();
        String baseConfig = Files.readString(folder.resolve("config.json"));
        List<Integer> ports = List.of(port(), port(), port());
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            try (java.net.DatagramSocket any = new java.net.DatagramSocket(0, InetAddress.getLoopbackAddress())) {
                peers.add("\"127.0.0.1:" + any.getLocalPort() + "\"");
            }
        }
        List<Path> configs = new ArrayList<>();
        List<Integer> mgmts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Path own = Files.createDirectory(folder.resolve("n" + i));
            configs.add(own.resolve("config.json"));
            mgmts.add(port());
            Files.writeString(
                    configs.get(i),
                    baseConfig
                            .replaceFirst(
                                    "\"name\": \"n1\"",
                                    "\"name\": \"n" + i + "\", \"peers\": " + peers + ", \"state\": \""
                                            + own.resolve("state") + "\"")
                            .replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"127.0.0.1:" + ports.get(i) + "\"")
                            .replace("\"replicasOfMe\": 2", "\"me\": " + i + ", \"replicasOfMe\": 3")
                            .replace("\"retryAfter\": true", "\"retryAfter\": true, \"peers\": true"));
        }
        for (int i = 0; i < 3; i++) {
            run(configs.get(i), configs.get(i).getParent(), mgmts.get(i), "-Xmx40m");
        }
        assertEquals(200, adminRequest(mgmts.get(0), "PUT", "/upstreams/s0/maint"));
        assertEquals(200, adminRequest(mgmts.get(0), "PUT", "/upstreams/s1/maint"));
        assertEquals(200, adminRequest(mgmts.get(0), "PUT", "/upstreams/s1/ready"));
        long before = incarnation(status(mgmts.get(0)));
        until(
                "the peers have replicated the orders",
                () -> status(mgmts.get(1)).contains("\"bansKeptForOthers\":2")
                        && status(mgmts.get(2)).contains("\"bansKeptForOthers\":2"));
        started.get(0).destroyForcibly().waitFor();
        try (var files = Files.list(configs.get(0).getParent().resolve("state"))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        run(configs.get(0), configs.get(0).getParent(), mgmts.get(0), "-Xmx40m");
        until("s0 is in maintenance again", () -> status(mgmts.get(0)).contains("\"outByHand\":[\"s0\"]"));
        assertTrue(incarnation(status(mgmts.get(0))) > before);
        for (int i = 0; i < 10; i++) {
            assertEquals(200, read(ports.get(0), "x" + i));
        }
        assertEquals(0, requests[0].get(), "s0 stays in maintenance after the state folder is lost");
        assertTrue(status(mgmts.get(0)).contains("\"droppedBad\":0"), status(mgmts.get(0)));
    }

    private static long incarnation(String status) {
        return Long.parseLong(status.replaceFirst("(?s).*\"incarnation\":(\\d+).*", "$1"));
    }

    private static String status(int mgmt) {
        try {
            return HTTP.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mgmt + "/status"))
                                    .timeout(Duration.ofSeconds(2))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException | InterruptedException e) {
            return "";
        }
    }

    /** Guards against running out of memory with several bodies of 32 MB at once in a heap of 40 MB, while one client reads slowly. */
    @Test
    void forwardsSeveralLargeBodiesWithSmallHeap() throws Exception {
        int port = configure();
        byte[] payload = new byte[32 << 20];
        new SplittableRandom(5).nextBytes(payload);
        for (HttpServer server : upstreams) {
            server.removeContext("/");
            server.createContext("/", exchange -> {
                byte[] received = exchange.getRequestBody().readAllBytes();
                boolean same = Arrays.equals(received, payload);
                exchange.sendResponseHeaders(same ? 200 : 500, same ? 0 : -1);
                if (same) {
                    exchange.getResponseBody().write(received);
                }
                exchange.close();
            });
        }
        Process process = run(port(), "-Xmx40m");
        List<String> failures = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String id = "c" + i;
            boolean slow = i == 0;
            clients.add(new Thread(() -> {
                try {
                    HttpResponse<InputStream> response = HTTP.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/write"))
                                    .header("X-Correlation-Id", id)
                                    .header("X-Time-Left", "3000m")
                                    .POST(HttpRequest.BodyPublishers.ofByteArray(payload))
                                    .build(),
                            HttpResponse.BodyHandlers.ofInputStream());
                    try (InputStream body = response.body()) {
                        Thread.sleep(slow ? 1_500 : 0);
                        if (response.statusCode() != 200 || !Arrays.equals(payload, body.readAllBytes())) {
                            throw new IOException("answered " + response.statusCode());
                        }
                    }
                } catch (IOException | InterruptedException e) {
                    synchronized (failures) {
                        failures.add(id + ": " + e);
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join(60_000);
        }
        assertEquals(List.of(), failures);
        assertTrue(process.isAlive());
    }
}
