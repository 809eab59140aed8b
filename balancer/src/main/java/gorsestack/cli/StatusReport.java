package gorsestack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Prints the status of a running balancer for operators and scripts; runs on the main thread. */
public final class StatusReport {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int HTTP_OK = 200;
    private static final int EXIT_READY = 0;
    private static final int EXIT_NOT_READY = 1;
    private static final int EXIT_UNREACHABLE = 2;
    private static final String LINE = "%-20s %s%n";

    private StatusReport() {}

    /**
     * Requests the status from the admin listener and prints it.
     *
     * @param address the address of the admin listener, as address:port
     * @param json whether to print the status as one JSON object rather than one line for each field, or for each field of an object
     * @return the exit code: 0 if the balancer is ready, 1 if it is not, 2 if no status is received from it
     */
    public static int show(String address, boolean json, PrintStream out, PrintStream err) throws InterruptedException {
        JsonNode status;
        try {
            HttpResponse<String> response = request(address);
            if (response.statusCode() != HTTP_OK) {
                err.println("gorsestack: " + address + " answered " + response.statusCode());
                return EXIT_UNREACHABLE;
            }
            status = new ObjectMapper().readTree(response.body());
        } catch (IOException | IllegalArgumentException e) {
            err.println("gorsestack: " + address + " cannot be queried: " + e);
            return EXIT_UNREACHABLE;
        }
        if (json) {
            out.println(status);
        } else {
            status.fields().forEachRemaining(field -> print(field, out));
        }
        return status.path("ready").asBoolean() ? EXIT_READY : EXIT_NOT_READY;
    }

    private static HttpResponse<String> request(String address) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/status"))
                .timeout(TIMEOUT)
                .build();
        return HttpClient.newBuilder()
                .connectTimeout(TIMEOUT)
                .build()
                .send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Prints a line for the field, or one for each of its fields if it is an object. */
    private static void print(Map.Entry<String, JsonNode> field, PrintStream out) {
        JsonNode value = field.getValue();
        if (value.isObject()) {
            value.fields()
                    .forEachRemaining(inner -> out.printf(
                            LINE,
                            field.getKey() + "." + inner.getKey(),
                            inner.getValue().asText()));
        } else {
            out.printf(LINE, field.getKey(), value.isArray() ? value.toString() : value.asText());
        }
    }
}
