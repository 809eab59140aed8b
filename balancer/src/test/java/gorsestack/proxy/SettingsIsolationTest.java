package gorsestack.proxy;

import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests several balancers in one process. */
@Timeout(60)
class SettingsIsolationTest {
    /** Two balancers with different settings run in one JVM; the products, limits and times of one do not affect the other. */
    @Test
    void isolatesTheSettingsOfTwoBalancers() throws Exception {
        String other = SocketRig.SETTINGS
                .replace("\"read\"", "\"lesen\"")
                .replace("\"connectTimeout\":120", "\"connectTimeout\":300")
                .replace("\"latencySlo\":1000", "\"latencySlo\":2600")
                .replace("\"clientTimeout\":3000", "\"clientTimeout\":9000");
        try (SocketRig one = new SocketRig(1);
                SocketRig two = new SocketRig(1, other)) {
            assertEquals(
                    "120 300",
                    one.limits.upstream().connectTimeoutNanos() / SocketRig.MS + " "
                            + two.limits.upstream().connectTimeoutNanos() / SocketRig.MS);
            assertEquals(
                    "500 1300",
                    one.limits.upstream().silenceThresholdNanos() / SocketRig.MS + " "
                            + two.limits.upstream().silenceThresholdNanos() / SocketRig.MS);
            int callCount = 0;
            for (SocketRig rig : new SocketRig[] {one, two, one}) {
                callCount++;
                String configured = rig == one ? "read" : "lesen";
                String unconfigured = rig == one ? "lesen" : "read";
                Socket client = rig.connectClient();
                HandlerSpy spy = rig.lastClientSpy();
                send(client, "GET /" + unconfigured + " HTTP/1.1\r\nX-Correlation-Id: f\r\n\r\n");
                rig.runUntil(() -> spy.sentCount == 1);
                assertTrue(readMessage(client).startsWith("HTTP/1.1 404 "));
                int connectionsBefore = rig.upstreamSpies.size();
                send(
                        client,
                        "GET /" + configured + " HTTP/1.1\r\nX-Correlation-Id: o" + callCount
                                + "\r\nX-Time-Left: 5000m\r\n\r\n");
                rig.runUntilRequestSent(connectionsBefore);
                String sent = readMessage(rig.upstreams.get(0).accept());
                assertTrue(sent.contains(rig == one ? "X-Time-Left: 29" : "X-Time-Left: 49"), sent);
            }
        }
    }
}
