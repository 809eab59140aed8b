package gorsestack.server;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.testing.BalancerCommand;
import gorsestack.testing.Fixture;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the status of a running balancer with the stored form: the keys in order and the JSON type of each value. The balancer has a
 * peer, and its discovery is unreachable.
 */
@Timeout(60)
class StatusFormatTest {
    private static final Fixture FIXTURE = new Fixture("status-keys.txt");
    private static final Set<String> CONDITIONAL_NUMBERS =
            Set.of("/heldBack", "/neighbours/returned", "/neighbours/silent");

    @TempDir
    private Path folder;

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private static int freeDatagramPort() throws IOException {
        try (DatagramSocket any = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    private Path configuration(int managementPort) throws IOException {
        String peers = String.format(
                "\"peers\": [\"127.0.0.1:%d\", \"127.0.0.1:%d\"]", freeDatagramPort(), freeDatagramPort());
        String addedKeys = String.format(
                "\"mgmt\": \"127.0.0.1:%d\", \"state\": \"%s\", %s", managementPort, folder.resolve("kept"), peers);
        String text = Files.readString(Path.of("deploy/example.json"))
                .replace("127.0.0.1:18000", "127.0.0.1:" + freePort())
                .replace("127.0.0.1:18500", "127.0.0.1:" + freePort())
                .replace("\"seed\"", addedKeys + ", \"seed\"")
                .replace("\"mayCancel\"", "\"peers\": true, \"mayCancel\"");
        Path file = folder.resolve("config.json");
        return Files.writeString(file, text);
    }

    private static String requestStatus(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            String request = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String reply = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return reply.substring(reply.indexOf("\r\n\r\n") + 4);
        }
    }

    /** Returns the status after the peer exchange has started, which is later than the admin listener. */
    private static JsonNode awaitStatus(int port) throws InterruptedException {
        while (true) {
            try {
                JsonNode status = new ObjectMapper().readTree(requestStatus(port));
                if (status.has("neighbours")) {
                    return status;
                }
            } catch (IOException e) {
                // The admin listener is not open yet.
            }
            Thread.sleep(20);
        }
    }

    /** Returns whether the node is a number that is present only at times; a value of another type is compared with the stored form. */
    private static boolean isConditional(String path, JsonNode node) {
        return CONDITIONAL_NUMBERS.contains(path) && node.isNumber();
    }

    private static void describe(String path, JsonNode node, StringBuilder text) {
        if (isConditional(path, node)) {
            return;
        }
        text.append(path).append(' ').append(node.getNodeType()).append('\n');
        node.fields().forEachRemaining(field -> describe(path + "/" + field.getKey(), field.getValue(), text));
    }

    @Test
    void statusKeysMatchStoredForm() throws Exception {
        int port = freePort();
        List<String> command = BalancerCommand.serve();
        command.addAll(List.of("--config", configuration(port).toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
        Process balancer = builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
        try {
            StringBuilder text = new StringBuilder();
            describe("", awaitStatus(port), text);
            FIXTURE.assertSame(text.toString());
        } finally {
            balancer.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }
    }
}
