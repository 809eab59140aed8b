package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.ok;
import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.readMessage;
import static gorsestack.proxy.SocketStreams.readToEnd;
import static gorsestack.proxy.SocketStreams.reset;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.EndpointUpdate;
import gorsestack.wire.WatchMessages;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests changes of the endpoint list that coincide with calls and with losses of the watch, on real connections. */
@Timeout(60)
class EndpointListOrderingTest {
    /** If lists are pushed, a change counts as notified from the start of the process, so the watch is opened at once. */
    @Test
    void opensTheWatchAtOnceIfListsArePushed() throws Exception {
        for (String mode : new String[] {"automatic", "subscribe"}) {
            try (SocketRig rig = new SocketRig(1, SocketRig.SETTINGS.replace("\"subscribe\"", "\"" + mode + "\""))) {
                rig.runPending();
                assertEquals(mode.equals("automatic") ? 1 : 0, rig.watchSpies.size(), mode);
                if (mode.equals("automatic")) {
                    sendList(
                            rig,
                            rig.acceptWatch(),
                            42,
                            "{\"index\":42,\"snapshot\":false,\"endpoints\":[" + rig.endpoint(0, "terminating") + "]}");
                }
            }
        }
    }

    /** Sends a list on the watch and runs until it has been applied. */
    private static void sendList(SocketRig rig, Socket watch, int index, String list) throws Exception {
        send(watch, WatchMessages.chunk(list + "\n"));
        rig.runUntil(() -> rig.dispatcher.recovery().listIndex() == index);
    }

    /** Rule 3: the watch is reset just before a drain is published. The next watch delivers it, and that upstream is sent nothing new. */
    @Test
    void appliesADrainPublishedRightAfterTheWatchWasReset() throws Exception {
        try (SocketRig rig = new SocketRig(2)) {
            Socket watch = rig.acceptWatch();
            sendList(
                    rig,
                    watch,
                    50,
                    "{\"index\":50,\"snapshot\":true,\"endpoints\":[" + rig.endpoint(0, "in_service") + ","
                            + rig.endpoint(1, "in_service") + "]}");
            int before = rig.watchSpies.size();
            reset(watch);
            rig.runUntil(() -> rig.watchSpies.get(before - 1).closedCount > 0);
            long startedAt = rig.now();
            rig.advanceUntil(() -> rig.watchSpies.size() > before);
            assertTrue(
                    rig.now() - startedAt <= rig.limits.discovery().reconnectJitterNanos(),
                    "the watch is reopened within half a second");
            rig.runUntil(() -> rig.watchSpies.get(before).sentCount > 0);
            Socket next = rig.discovery.accept();
            assertTrue(readMessage(next).startsWith("GET /catalog/members?watch=1&after=50 "));
            send(next, WatchMessages.RESPONSE_HEAD);
            sendList(
                    rig,
                    next,
                    51,
                    "{\n  \"index\": 51,\n  \"snapshot\": false,\n  \"endpoints\": [\n    "
                            + rig.endpoint(0, "terminating") + "\n  ]\n}");
            for (int i = 0; i < 5; i++) {
                Socket client = rig.connectClient();
                HandlerSpy spy = rig.lastClientSpy();
                int connectionsBefore = rig.upstreamSpies.size();
                send(client, request("once", "c" + i));
                rig.runUntilRequestSent(connectionsBefore);
                Socket upstream = rig.upstreams.get(1).accept();
                readMessage(upstream);
                send(upstream, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
                rig.runUntil(() -> spy.sentCount == 1);
            }
            assertNull(rig.upstreams.get(0).acceptWithin(20), "a draining upstream is sent nothing new");
        }
    }

    /** A complete list omits an upstream: an attempt in flight there still gets its response, and its connection is not reused. */
    @Test
    void completesAnAttemptAtAnUpstreamMissingFromTheList() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            send(client, request("once", "c"));
            rig.runUntil(() -> rig.clientSpy(0).receivedCount == 1);
            Socket upstream = rig.acceptRequest(0);
            rig.applyUpdate("{\"index\":60,\"endpoints\":[]}", EndpointUpdate.Kind.SNAPSHOT);
            send(upstream, ok("done"));
            rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
            assertTrue(readMessage(client).endsWith("done"));
            rig.runUntil(() -> rig.upstreamSpies.get(0).closedCount > 0);
            assertEquals("", readToEnd(upstream));
        }
    }

    /**
     * An upstream was removed and added again between two updates. One message has both entries in order, and the later one counts. Guards
     * against a fault that the soak test found (incident 0017): the upstream was ready without an address, so no attempt could reach it.
     */
    @Test
    void sendsCallsToAnUpstreamRemovedAndAddedAgainInOneMessage() throws Exception {
        for (EndpointUpdate.Kind kind :
                new EndpointUpdate.Kind[] {EndpointUpdate.Kind.DELTA, EndpointUpdate.Kind.SNAPSHOT}) {
            try (SocketRig rig = new SocketRig(1)) {
                rig.applyUpdate(
                        "{\"index\":43,\"endpoints\":[" + rig.endpoint(0, "terminated") + ","
                                + rig.endpoint(0, "in_service") + "]}",
                        kind);
                Socket client = rig.connectClient();
                send(client, request("once", "back"));
                rig.runUntil(() -> rig.upstreamSpies.stream().anyMatch(spy -> spy.sentCount > 0)
                        || rig.clientSpy(0).sentCount > 0);
                assertEquals(0, rig.clientSpy(0).sentCount, "rejected");
                send(rig.acceptRequest(0), ok("served"));
                rig.runUntil(() -> rig.clientSpy(0).sentCount == 1);
                assertTrue(readMessage(client).endsWith("served"));
                rig.applyUpdate(
                        "{\"index\":44,\"endpoints\":[" + rig.endpoint(0, "in_service") + ","
                                + rig.endpoint(0, "terminated") + "]}",
                        EndpointUpdate.Kind.DELTA);
                send(client, request("once", "gone"));
                rig.runUntil(() -> rig.clientSpy(0).sentCount == 2);
                assertTrue(readMessage(client).startsWith("HTTP/1.1 429 "), "the later entry counts");
            }
        }
    }

    /** Idle clients hold all client connections while discovery is down. The balancer still reconnects within the maximum retry delay. */
    @Test
    void reconnectsToDiscoveryWithAllClientConnectionsInUse() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            InetSocketAddress address = rig.discovery.address();
            rig.discovery.listener.close();
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < rig.limits.client().maxAccepted(); i++) {
                idle.add(new Socket(rig.address.getAddress(), rig.address.getPort()));
            }
            rig.runUntil(() -> rig.network.accepted() == rig.limits.client().maxAccepted());
            for (int i = 0; i < 3; i++) {
                int attempt = i;
                rig.advanceUntil(() -> rig.watchSpies.size() > attempt);
                rig.runUntil(() -> rig.watchSpies.get(attempt).closedCount > 0);
            }
            try (ServerSocket restarted = new ServerSocket()) {
                restarted.setReuseAddress(true);
                restarted.bind(address);
                restarted.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
                int refused = rig.watchSpies.size();
                long startedAt = rig.now();
                rig.advanceUntil(() -> rig.watchSpies.size() > refused);
                assertTrue(
                        rig.now() - startedAt <= rig.limits.discovery().maxRetryDelayNanos(),
                        "retried within the maximum delay");
                rig.runUntil(() -> rig.watchSpies.get(refused).sentCount > 0);
                Socket accepted = restarted.accept();
                assertTrue(readMessage(accepted).startsWith("GET /catalog/members?watch=1"));
                accepted.close();
            }
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }
}
