package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests requests that a client sends before it has received the response to the previous one. */
class PipeliningTest {
    /** The queue is bounded, but reading continues. Without this, a disconnect after the pipelined requests would not be detected. */
    @Test
    void queuesPipelinedCallsUpToALimitAndKeepsReading() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1") + request("read", "c2"));
        client.send(request("read", "c3").repeat(1_200));
        assertTrue(client.discardsInput, "the queue is bounded");
        assertFalse(client.readingSuspended, "reading continues, so a disconnect is detected");
        client.send(request("read", "c4"));
        rig.lastUsed().sendOk("1");
        assertTrue(client.output.endsWith("1"), client.output);
        client.takeOutput();
        rig.lastUsed().sendOk("2");
        assertTrue(client.output.contains("\r\n\r\n2"), client.output);
        int connectionsBefore = rig.upstreamConnections().size();
        client.queueDisconnect();
        rig.advance(3_000);
        assertEquals(
                connectionsBefore, rig.upstreamConnections().size(), "no attempt is started for a disconnected client");
    }

    /** Discarded calls get no response; the connection is closed in order after the responses to the queued calls. */
    @Test
    void closesTheConnectionAfterTheQueuedCallsIfTooManyArePipelined() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        client.send("GET /other HTTP/1.1\r\nX-Correlation-Id: c\r\n\r\n".repeat(2_000));
        assertTrue(client.discardsInput);
        rig.lastUsed().sendOk("1");
        rig.runPending();
        assertFalse(client.open());
        assertEquals(2_001, client.output.split("HTTP/1.1 404", -1).length);
    }

    /** Runs on a small stack, which recursion over the pipelined calls would overflow. */
    @Test
    void respondsToHundredsOfPipelinedCallsWithoutRecursion() throws Exception {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        List<Throwable> thrown = new ArrayList<>();
        Thread smallStackThread = new Thread(
                null,
                () -> client.send("GET /other HTTP/1.1\r\nX-Correlation-Id: c\r\n\r\n".repeat(1_000)),
                "small",
                192 << 10);
        smallStackThread.setUncaughtExceptionHandler((t, e) -> thrown.add(e));
        smallStackThread.start();
        smallStackThread.join();
        assertEquals(List.of(), thrown);
        assertEquals(1_001, client.output.split("HTTP/1.1 404", -1).length);
    }
}
