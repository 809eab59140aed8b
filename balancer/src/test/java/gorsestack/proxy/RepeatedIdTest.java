package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.admin.ExecutedCalls;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a call is not executed a second time if its id comes again. */
class RepeatedIdTest {
    @TempDir
    private Path folder;

    /** Returns how often the request with this id was written to an upstream. */
    private static long requestsWritten(DispatcherRig rig, String id) {
        return rig.upstreamConnections().stream()
                .mapToLong(upstream -> upstream.output.split("X-Correlation-Id: " + id + "\r", -1).length - 1L)
                .sum();
    }

    private static void sendAndLeave(DispatcherRig rig, String request) {
        FakeSocket client = rig.client();
        client.send(request);
        client.queueDisconnect();
        rig.runPending();
    }

    /** Guards against a call that runs twice, as its client leaves and sends it again on another connection. */
    @ParameterizedTest
    @ValueSource(strings = {"once", "mark"})
    void executesACallOnceThoughItsClientLeavesAndSendsItAgain(String product) throws IOException {
        for (int laterMillis : new int[] {0, 300, 2_500, 20_000}) {
            DispatcherRig rig = DispatcherRig.withUpstreams(3);
            sendAndLeave(rig, request(product, "c1"));
            rig.advance(laterMillis);
            FakeSocket again = rig.client();
            again.send(request(product, "c1"));
            expectResponse(409, again);
            assertEquals(1, requestsWritten(rig, "c1"), laterMillis + " ms later");
        }
    }

    /** Guards against the same at the other process of an upgrade. */
    @ParameterizedTest
    @ValueSource(strings = {"once", "mark"})
    void executesACallOnceThoughItIsSentAgainToAnotherProcess(String product) throws IOException {
        DispatcherRig old = DispatcherRig.withUpstreams(3);
        old.dispatcher.setExecutedCalls(ExecutedCalls.shared(folder.resolve("calls")));
        sendAndLeave(old, request(product, "c1"));
        DispatcherRig successor = DispatcherRig.withUpstreams(3);
        successor.dispatcher.setExecutedCalls(ExecutedCalls.shared(folder.resolve("calls")));
        FakeSocket again = successor.client();
        again.send(request(product, "c1"));
        expectResponse(409, again);
        assertEquals(0, requestsWritten(successor, "c1"));
    }

    /** Prevents calls from being refused that were proven not to have run, or that may run twice. */
    @Test
    void acceptsAnIdAgainWhereNoHarmIsDone() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        rig.connectsAtOnce = false;
        FakeSocket client = rig.client();
        client.send(request("once", "c1"));
        while (client.output.isEmpty()) {
            rig.lastUsed().queueDisconnect();
            rig.advance(10);
        }
        expectResponse(429, client);
        rig.connectsAtOnce = true;
        client.send(request("once", "c1"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, client);
        sendAndLeave(rig, request("read", "c2"));
        client.send(request("read", "c2"));
        rig.lastUsed().sendOk("done");
        expectResponse(200, client);
    }
}
