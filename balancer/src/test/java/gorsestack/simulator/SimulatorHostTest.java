package gorsestack.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Tests the replies, errors and exit codes of the simulator's host. */
class SimulatorHostTest {
    /** Number of successful calls that earn the budget of a retry. */
    private static final int RETRY_EARNING_CALLS = 20;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input) throws IOException {
        out.reset();
        err.reset();
        return new SimulatorHost(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run();
    }

    @Test
    void repliesToBatchAndExitsWithSuccessAtEndOfInput() throws IOException {
        String hello = "[\"HELLO\",1,5,{\"new\":1,\"products\":[{\"name\":\"a\",\"clientTimeout\":100}]}]";
        String list = "[\"SHEET\",0,[[1,null,0,1,\"k\",\"z\",\"h:1\"]]],[\"SYNC\",1,0,1,0]";
        assertEquals(
                0,
                run("{\"wall\":1,\"round\":7,\"events\":[" + hello + "," + list
                        + ",[\"NEW_REQUEST\",1,\"c:1\",\"a\"],[\"ANSWER\",1,\"c:1\",0,\"h:1\",\"odd\",1.0,false]]}\n"));
        assertEquals(
                "{\"round\":7,\"out\":[[\"TRANSMIT\",1,\"c:1\",\"h:1\",98.0],[\"WAKE_ME\",1,1,51.0],"
                        + "[\"LOSE\",1,\"c:1\"]]}\n",
                out.toString(StandardCharsets.UTF_8));
    }

    /** Returns how often a deduplicated call whose first attempt fails is sent, where both upstreams are of this cell. */
    private long attemptsOfFailingCall(String cell) throws IOException {
        StringBuilder events = new StringBuilder(
                "[\"HELLO\",1,5,{\"new\":1,\"limits\":{\"mostShots\":4},\"products\":[{\"name\":\"a\","
                        + "\"clientTimeout\":100,\"semantics\":\"guarded\",\"keyScope\":\"cell\",\"repeatWindow\":100}]}]");
        for (String upstream : new String[] {"h:1", "h:2"}) {
            events.append(events.indexOf("SHEET") < 0 ? ",[\"SHEET\",0,[" : ",")
                    .append("[1,null," + cell + ",1,\"k\",\"z\",\"" + upstream + "\"]");
        }
        events.append("]],[\"SYNC\",1,0,1,0]");
        for (int i = 0; i < RETRY_EARNING_CALLS; i++) {
            events.append(callEvents("c:" + i, "success"));
        }
        events.append(callEvents("failing", "failure"));
        assertEquals(0, run("{\"wall\":1,\"round\":7,\"events\":[" + events + "]}\n"));
        return Pattern.compile("\"TRANSMIT\",1,\"failing\"")
                .matcher(out.toString(StandardCharsets.UTF_8))
                .results()
                .count();
    }

    /** Returns the events of a call and of the end of its first attempt. */
    private static String callEvents(String id, String outcome) {
        return ",[\"NEW_REQUEST\",1,\"" + id + "\",\"a\"],[\"ANSWER\",1,\"" + id + "\",0,\"h:1\",\"" + outcome
                + "\",1.0,false]";
    }

    /** Guards against a repeat of a deduplicated call where the simulator told no cell, which is not cell 0. */
    @Test
    void repeatsNoCallWhoseCellIsNotTold() throws IOException {
        assertEquals(2, attemptsOfFailingCall("0"));
        assertEquals(1, attemptsOfFailingCall("null"));
    }

    @Test
    void reportsMalformedBatchInOneLine() throws IOException {
        for (String events :
                new String[] {"{}", "[1]", "[[\"HELLO\",1]]", "[[\"HELLO\",1,5,6]]", "[[\"SYNC\",1,0,", "["}) {
            assertEquals(2, run("{\"wall\":1,\"round\":7,\"events\":" + events + "}\n"), events);
            assertEquals("", out.toString(StandardCharsets.UTF_8));
            String error = err.toString(StandardCharsets.UTF_8);
            assertTrue(
                    error.startsWith("gorsestack: round 7: ") && error.lines().count() == 1, error);
        }
    }
}
