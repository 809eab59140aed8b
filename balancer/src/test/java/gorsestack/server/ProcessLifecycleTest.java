package gorsestack.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.testing.BalancerCommand;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts a real process and sends it signals. In some tests the configuration is a named pipe, so that the start waits until the test has
 * sent its signal.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ProcessLifecycleTest {
    @TempDir
    private Path folder;

    private final List<Process> started = new ArrayList<>();
    private final InetAddress loopback = InetAddress.getLoopbackAddress();
    private int port;
    private ServerSocket upstream;

    @AfterEach
    void end() throws IOException {
        started.forEach(Process::destroyForcibly);
        if (upstream != null) {
            upstream.close();
        }
    }

    private String configuration() throws IOException {
        upstream = new ServerSocket(0, 50, loopback);
        upstream.setSoTimeout(20_000);
        try (ServerSocket any = new ServerSocket(0, 1, loopback);
                ServerSocket other = new ServerSocket(0, 1, loopback)) {
            port = any.getLocalPort();
            return Files.readString(Path.of("deploy/example.json"))
                    .replace("127.0.0.1:18000", "127.0.0.1:" + port)
                    .replace("127.0.0.1:18500", "127.0.0.1:" + other.getLocalPort())
                    .replace("127.0.0.1:18080", "127.0.0.1:" + upstream.getLocalPort());
        }
    }

    private Process run(Path config) throws IOException {
        // A JVM inherits ignored signals from its parent process, as under nohup.
        return run(config, "--default-signal=HUP");
    }

    private Process run(Path config, String signals) throws IOException {
        List<String> command = BalancerCommand.serve("-XX:+UseSerialGC");
        command.addAll(0, List.of("env", signals));
        ProcessBuilder run = new ProcessBuilder(command);
        run.environment().put("ROUTER_CONFIG", config.toString());
        Process process = run.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
        started.add(process);
        return process;
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + process.pid())
                        .start()
                        .waitFor());
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private void until(String line) throws Exception {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!log().contains(line)) {
            assertTrue(System.nanoTime() < end, line + " not in " + log());
            Thread.onSpinWait();
        }
    }

    private Path pipe() throws Exception {
        Path pipe = folder.resolve("config.pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        return pipe;
    }

    /** Guards against a SIGHUP during the start that ends the JVM, which is the default action while no handler is registered. */
    @Test
    void reloadsAfterStartWhenSighupArrivesDuringStart() throws Exception {
        String text = configuration();
        Path pipe = pipe();
        Process process = run(pipe);
        try (OutputStream pipeOutput = Files.newOutputStream(pipe)) { // returns when the start opens the pipe
            signal(process, "HUP");
            // The reload reads a regular file, as it could otherwise read the end of what the start reads from the
            // pipe.
            Files.delete(pipe);
            Files.writeString(pipe, text);
            pipeOutput.write(text.getBytes(StandardCharsets.UTF_8));
        }
        until("configuration reloaded");
        until("is ready on");
        assertTrue(process.isAlive());
    }

    /** Guards against signals that are lost silently because the parent process ignores them; a file change triggers the reload then. */
    @Test
    void logsIgnoredSignalsAndReloadsOnFileChangeWhenSighupIsIgnored() throws Exception {
        for (String name : new String[] {"HUP", "TERM", "INT"}) {
            Path file = folder.resolve("config-" + name + ".json");
            String text = configuration();
            Files.writeString(file, text);
            Files.writeString(folder.resolve("log"), "");
            Process process = run(file, "--ignore-signal=" + name);
            until("SIG" + name + " is ignored, as inherited from the parent process");
            until("is ready on");
            if (name.equals("HUP")) {
                Files.writeString(file, "{");
                until("configuration rejected");
                Files.writeString(
                        file, text.replaceFirst("\"discovery\" *: *\"[^\"]*\"", "\"discovery\": \"127.0.0.1:9\""));
                until("configuration reloaded; discovery is /127.0.0.1:9");
                signal(process, "HUP");
            }
            signal(process, name.equals("TERM") ? "INT" : "TERM");
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), log());
            assertEquals(0, process.exitValue(), log());
            upstream.close();
        }
    }

    /** Guards against a SIGTERM during the start that is lost, so that the process keeps listening, or that ends the JVM with an error. */
    @Test
    void exitsAfterStartWhenSigtermArrivesDuringStart() throws Exception {
        String text = configuration();
        Path pipe = pipe();
        Process process = run(pipe);
        try (OutputStream pipeOutput = Files.newOutputStream(pipe)) {
            signal(process, "TERM");
            pipeOutput.write(text.getBytes(StandardCharsets.UTF_8));
        }
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log());
    }

    /**
     * Guards against a second SIGTERM, or a SIGHUP, that restarts or cuts short the shutdown in progress. A call in flight must still
     * receive its response.
     */
    @Test
    void secondSigtermDoesNotAffectShutdownInProgress() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration());
        Process process = run(file);
        until("is ready on");
        try (Socket client = new Socket(loopback, port)) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write("GET /read HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left: 2500m\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Socket attempt = upstream.accept();
            assertTrue(attempt.getInputStream().read() >= 0);
            signal(process, "TERM");
            until("ending; 1 calls held");
            signal(process, "TERM");
            signal(process, "HUP");
            until("configuration reloaded");
            attempt.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
            String response = new String(client.getInputStream().readNBytes(15), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 200 OK"), response);
        }
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(0, process.exitValue(), log());
        assertEquals(1, log().split("ending; ", -1).length - 1, log());
    }

    /**
     * Guards against a lost first poll for endpoints (incident 0019, seen in the soak test), after which no other followed. The policy
     * draws a random delay for that poll. With this seed the delay is almost zero, so the timer is due while the balancer is still being
     * constructed.
     */
    @Test
    void pollsForEndpointsWhenFirstTimerIsDueDuringConstruction() throws Exception {
        try (ServerSocket discovery = new ServerSocket(0, 50, loopback)) {
            discovery.setSoTimeout(15_000);
            Path file = folder.resolve("config.json");
            Files.writeString(
                    file,
                    configuration()
                            .replaceFirst(
                                    "\"discovery\" *: *\"[^\"]*\"",
                                    "\"discovery\": \"127.0.0.1:" + discovery.getLocalPort() + "\"")
                            .replaceFirst("\"seed\" *: *\"[^\"]*\"", "\"seed\": \"a2a1c6\""));
            run(file);
            try (Socket connection = discovery.accept()) {
                byte[] requestStart = connection.getInputStream().readNBytes(21);
                assertEquals("GET /catalog/members?", new String(requestStart, StandardCharsets.US_ASCII));
            }
            until("is ready on");
            assertTrue(!log().contains("a task failed"), log());
        }
    }

    /**
     * Guards against a process that listens although a setting is misspelled. The start must fail with exit code 2 and one line that names
     * the setting.
     */
    @Test
    void exitsWithErrorThatNamesMissingSetting() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, configuration().replace("\"coldShare\"", "\"coldshare\""));
        Process process = run(file);
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(
                1,
                log().lines()
                        .filter(line -> !line.startsWith("Picked up") && !line.startsWith("NOTE"))
                        .count(),
                log());
        assertTrue(log().contains("settings.rules.coldShare is missing"), log());
    }
}
