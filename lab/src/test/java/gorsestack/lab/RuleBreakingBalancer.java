package gorsestack.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A test double for the balancer. It forwards requests round robin, and violates one rule in the way that its argument selects. Tests
 * start it as a separate process, which serves each client connection on its own thread. The modes are:
 *
 * <ul>
 *   <li>ok: violates no rule
 *   <li>twice: sends each response twice
 *   <li>silent: sends no response, except to health checks
 *   <li>wrong: sends a body that no upstream produced for the request
 *   <li>repeat: forwards POST requests without an idempotency key twice
 *   <li>drain: ignores changes of the endpoint list
 *   <li>topple: ignores changes of the endpoint list, and sends all requests to its first endpoint
 * </ul>
 */
public final class RuleBreakingBalancer {
    private final String mode;
    private final List<String> upstreams = new ArrayList<>();
    private final AtomicInteger nextUpstream = new AtomicInteger();

    private RuleBreakingBalancer(String mode) {
        this.mode = mode;
    }

    public static void main(String[] args) throws IOException {
        JsonNode config = new ObjectMapper().readTree(new File(System.getenv("ROUTER_CONFIG")));
        RuleBreakingBalancer balancer = new RuleBreakingBalancer(args[0]);
        config.path("known")
                .path("endpoints")
                .forEach(endpoint ->
                        balancer.upstreams.add(endpoint.path("address").asText()));
        Thread watch = new Thread(() -> balancer.watch(config.path("discovery").asText()));
        watch.setDaemon(true);
        watch.start();
        String[] listen = config.path("listen").asText().split(":");
        try (ServerSocket server =
                new ServerSocket(Integer.parseInt(listen[1]), 100, InetAddress.getByName(listen[0]))) {
            while (true) {
                Socket client = server.accept();
                new Thread(() -> balancer.serve(client)).start();
            }
        }
    }

    private static Socket open(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Watches the endpoint list and applies its changes, except in the modes that violate a rule by ignoring them. */
    private void watch(String discovery) {
        try (Socket socket = open(discovery)) {
            socket.getOutputStream()
                    .write("GET /catalog/members?watch=1&after=0 HTTP/1.1\r\nHost: d\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line; (line = in.readLine()) != null; ) {
                if (line.startsWith("{") && !mode.equals("drain") && !mode.equals("topple")) {
                    for (JsonNode endpoint : new ObjectMapper().readTree(line).path("endpoints")) {
                        synchronized (upstreams) {
                            upstreams.remove(endpoint.path("address").asText());
                            if (endpoint.path("status").asText().equals("in_service")) {
                                upstreams.add(endpoint.path("address").asText());
                            }
                        }
                    }
                }
            }
        } catch (IOException e) {
            // The connection to discovery ends with the run.
        }
    }

    private record Message(String startLine, String id, String key, String body, boolean endOfStream) {}

    private static Message read(BufferedReader in) throws IOException {
        String startLine = in.readLine();
        if (startLine == null) {
            return new Message("", "", "", "", true);
        }
        int length = 0;
        String id = "";
        String key = "";
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            String[] field = line.split(": *", 2);
            switch (field[0].toLowerCase(java.util.Locale.ROOT)) {
                case "content-length" -> length = Integer.parseInt(field[1]);
                case "x-correlation-id" -> id = field[1];
                case "idempotency-key" -> key = field[1];
                default -> {}
            }
        }
        char[] body = new char[length];
        for (int count = 0; count < length; ) {
            count += in.read(body, count, length - count);
        }
        return new Message(startLine, id, key, new String(body), false);
    }

    private void serve(Socket client) {
        try (client) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = client.getOutputStream();
            for (Message request = read(in); !request.endOfStream(); request = read(in)) {
                if (request.startLine().contains("/_health")) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (mode.equals("silent")) {
                    continue;
                }
                String body = forward(request);
                if (mode.equals("repeat")
                        && request.startLine().startsWith("POST")
                        && request.key().isEmpty()) {
                    body = forward(request);
                }
                if (mode.equals("wrong")) {
                    body = "another's";
                }
                byte[] response = ("HTTP/1.1 " + (body == null ? "502 Bad Gateway" : "200 OK") + "\r\nContent-Length: "
                                + (body == null ? 0 : body.length()) + "\r\n\r\n" + (body == null ? "" : body))
                        .getBytes(StandardCharsets.ISO_8859_1);
                out.write(response);
                if (mode.equals("twice")) {
                    out.write(response);
                }
            }
        } catch (IOException e) {
            // The client has disconnected, so nothing is left to serve.
        }
    }

    private String forward(Message request) {
        String address;
        synchronized (upstreams) {
            address = upstreams.get(mode.equals("topple") ? 0 : nextUpstream.getAndIncrement() % upstreams.size());
        }
        try (Socket socket = open(address)) {
            socket.getOutputStream()
                    .write((request.startLine() + "\r\nX-Correlation-Id: " + request.id() + "\r\n"
                                    + (request.key().isEmpty() ? "" : "Idempotency-Key: " + request.key() + "\r\n")
                                    + "Content-Length: "
                                    + request.body().length() + "\r\n\r\n" + request.body())
                            .getBytes(StandardCharsets.ISO_8859_1));
            Message response = read(
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1)));
            return response.startLine().contains(" 200 ") ? response.body() : null;
        } catch (IOException e) {
            return null;
        }
    }
}
