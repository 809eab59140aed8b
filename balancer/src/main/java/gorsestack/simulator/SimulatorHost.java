package gorsestack.simulator;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.settings.InvalidSettingsException;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Hosts simulated balancers for the simulator and its command. Each input line is a batch of events, each output line the reply to one.
 * Runs on the caller's thread.
 */
public final class SimulatorHost {
    private static final int BUFFER_CHARS = 1 << 16;
    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_INPUT = 2;

    private final BufferedReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final JsonFactory json = new JsonFactory(new ObjectMapper());
    private final EventDispatcher dispatcher;
    /** The number of the latest batch; negative before the first one. */
    private long round = -1;

    private long now;

    /**
     * @param in the batches
     * @param out the replies
     * @param err errors in the input, and stack traces of exceptions that policies throw
     */
    public SimulatorHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.out = out;
        this.err = err;
        dispatcher = new EventDispatcher(err);
    }

    /**
     * Replies to batches until the input ends or is invalid.
     *
     * @return the exit code: 0 at the end of the input, 2 if the input is invalid
     */
    public int run() throws IOException {
        ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_CHARS);
        for (String line; (line = in.readLine()) != null; ) {
            reply.reset();
            try {
                handleBatch(line, reply);
            } catch (InvalidBatchException | InvalidSettingsException e) {
                return reportInvalidInput(e.getMessage());
            } catch (JsonProcessingException e) {
                return reportInvalidInput(
                        "not JSON: " + e.getOriginalMessage().replaceAll(" \\(start marker at .*", ""));
            }
            reply.write('\n');
            reply.writeTo(out);
            out.flush();
        }
        return EXIT_OK;
    }

    private int reportInvalidInput(String reason) {
        err.println("gorsestack: " + (round < 0 ? "before any round" : "round " + round) + ": " + reason);
        return EXIT_INVALID_INPUT;
    }

    private void handleBatch(String line, OutputStream bytes) throws IOException {
        try (JsonParser parser = json.createParser(line);
                JsonGenerator reply = json.createGenerator(bytes, JsonEncoding.UTF8)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidBatchException("a batch must be an object");
            }
            boolean timeRead = false;
            boolean roundRead = false;
            boolean replied = false;
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String key = parser.currentName();
                JsonToken value = parser.nextToken();
                if (key.equals("wall") && value.isNumeric()) {
                    now = SimulatorTime.nanos(parser.getDoubleValue());
                    timeRead = true;
                } else if (key.equals("round") && value == JsonToken.VALUE_NUMBER_INT) {
                    round = parser.getLongValue();
                    roundRead = true;
                } else if (key.equals("events") && value == JsonToken.START_ARRAY && timeRead && roundRead) {
                    reply(parser, reply);
                    replied = true;
                } else if (key.equals("wall") || key.equals("round") || key.equals("events")) {
                    throw new InvalidBatchException(key + " is out of place or of the wrong type: " + value);
                } else {
                    parser.skipChildren();
                }
            }
            if (!replied) {
                throw new InvalidBatchException("a batch needs wall, round and events, in that order");
            }
            if (parser.nextToken() != null) {
                throw new InvalidBatchException("more than one value on a line");
            }
        }
    }

    private void reply(JsonParser parser, JsonGenerator reply) throws IOException {
        reply.writeStartObject();
        reply.writeNumberField("round", round);
        reply.writeArrayFieldStart("out");
        dispatcher.dispatch(parser, round, now, reply);
        reply.writeEndArray();
        reply.writeEndObject();
    }
}
