package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that incomplete responses of all upstreams together occupy bounded memory, without a call being lost. */
class ResponseMemoryTest {
    private static final int CALLS = 400;
    private static final int BODY_BYTES = 62_000;
    private static final int SENT_BYTES = 60_000;
    /** The bound for all incomplete responses, and one read of each call beside it. */
    private static final long MAX_HELD_BYTES = (4L << 20) + CALLS * (4L << 10);

    private record Exchange(FakeSocket client, FakeSocket upstream) {}

    private static String head(boolean lengthKnown) {
        return "HTTP/1.1 200 OK\r\n" + (lengthKnown ? "Content-Length: " + BODY_BYTES + "\r\n" : "") + "\r\n";
    }

    /** Begins calls until one has no attempt; the balancer limits how many are in flight. */
    private static List<Exchange> beginCalls(DispatcherRig rig) throws IOException {
        List<Exchange> exchanges = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            FakeSocket client = rig.client();
            client.send(request("read", "c" + i));
            if (client.output.isEmpty()) {
                exchanges.add(new Exchange(client, rig.lastUsed()));
            }
        }
        return exchanges;
    }

    /** Guards against upstreams that stop within a response and use up the heap together. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void relaysIncompleteResponsesWhenTheyOccupyTooMuchMemory(boolean lengthKnown) throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(40);
        List<Exchange> exchanges = beginCalls(rig);
        assertTrue(exchanges.size() > 100, exchanges.size() + " calls are in flight");
        long sent = 0;
        for (Exchange exchange : exchanges) {
            exchange.upstream.sendInReads(head(lengthKnown) + "y".repeat(SENT_BYTES));
            sent += SENT_BYTES;
            long relayed = exchanges.stream()
                    .mapToLong(each -> each.client.output.length())
                    .sum();
            assertTrue(sent - relayed < MAX_HELD_BYTES, (sent - relayed) + " bytes are held");
        }
        for (Exchange exchange : exchanges) {
            exchange.upstream.send("y".repeat(BODY_BYTES - SENT_BYTES));
            if (!lengthKnown) {
                exchange.upstream.handler().ended();
                rig.runPending();
            }
            assertEquals(
                    BODY_BYTES,
                    exchange.client.output.chars().filter(c -> c == 'y').count());
            expectResponse(200, exchange.client);
        }
    }

    /** Prevents the body of an error, which nobody reads, from being held. */
    @Test
    void holdsNoBodyOfAnErrorResponse() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(40);
        List<Exchange> exchanges = beginCalls(rig);
        for (Exchange exchange : exchanges) {
            exchange.upstream.sendInReads(
                    "HTTP/1.1 500 Error\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + "y".repeat(SENT_BYTES));
        }
        FakeSocket usual = rig.client();
        usual.send(request("once", "usual"));
        FakeSocket upstream = rig.lastUsed();
        upstream.sendInReads(head(true) + "y".repeat(SENT_BYTES));
        assertEquals("", usual.output, "there is room to hold this one");
        upstream.send("y".repeat(BODY_BYTES - SENT_BYTES));
        expectResponse(200, usual);
    }
}
