package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointUpdate;
import gorsestack.wire.WatchEvent;
import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a new process at the address of one that has gone is not taken for the old one. */
class ReplacedUpstreamTest {
    private static String entry(String name, int host, String status, long since) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.1." + host + ":80\",\"zone\":\"b\",\"status\":\""
                + status + "\",\"since_ms\":" + since + "}";
    }

    private static WatchEvent event(EndpointUpdate.Kind kind, String... entries) throws IOException {
        return WatchEvent.read(
                new ObjectMapper().readTree("{\"index\":50,\"endpoints\":[" + String.join(",", entries) + "]}"), kind);
    }

    /** Guards against calls for an upstream that has gone, but is still listed, which reach another one at its address. */
    @ParameterizedTest
    @CsvSource({"0, DELTA", "1000, DELTA", "0, SNAPSHOT", "1000, SNAPSHOT"})
    void sendsNothingMoreToAnUpstreamWhoseAddressAnotherOneHas(long since, EndpointUpdate.Kind kind)
            throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("read", "c1"));
        FakeSocket old = rig.lastUsed();
        old.sendOk("old");
        expectResponse(200, client);
        rig.dispatcher.watchEvent(
                event(kind, DispatcherRig.endpoint(1, "in_service"), entry("new", 1, "in_service", since)));
        rig.runPending();
        assertFalse(old.open(), "a connection to the process that has gone is not kept");
        rig.advance(20);
        client.send(request("read", "c2"));
        assertNotSame(old, rig.lastUsed());
        rig.lastUsed().sendOk("new");
        expectResponse(200, client);
        rig.dispatcher.watchEvent(event(EndpointUpdate.Kind.DELTA, entry("new", 1, "terminating", since)));
        rig.advance(20);
        int connections = rig.upstreamConnections().size();
        client.send(request("read", "c3"));
        expectResponse(429, client);
        assertEquals(connections, rig.upstreamConnections().size(), "nothing is sent for the old one");
    }
}
