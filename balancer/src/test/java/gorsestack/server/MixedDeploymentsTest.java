package gorsestack.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.proxy.CallDispatcher;
import gorsestack.proxy.EventLoopThread;
import gorsestack.proxy.PeerChannel;
import gorsestack.settings.Limits;
import gorsestack.settings.SettingsReader;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.MinaNetwork;
import gorsestack.wire.PeerSocket;
import gorsestack.wire.WatchEvent;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Runs balancers of two deployments in front of the same upstreams on loopback, as during a migration. The new deployment uses load
 * reports and peer messages, the old one neither.
 */
class MixedDeploymentsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int BALANCERS_PER_DEPLOYMENT = 2;

    /** An upstream that executes four requests at a time, each in 10 ms, and reports its load with each response. */
    private static final class StandIn {
        final HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 50);
        final AtomicInteger activeRequests = new AtomicInteger();
        final AtomicInteger receivedRequests = new AtomicInteger();
        final Map<String, Integer> executions = new ConcurrentHashMap<>();
        private final Semaphore executionSlots = new Semaphore(4);

        StandIn() throws Exception {
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", exchange -> {
                receivedRequests.incrementAndGet();
                executions.merge(exchange.getRequestHeaders().getFirst("X-Correlation-Id"), 1, Integer::sum);
                activeRequests.incrementAndGet();
                executionSlots.acquireUninterruptibly();
                try {
                    Thread.sleep(10);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                executionSlots.release();
                exchange.getResponseHeaders()
                        .set("X-Load", "rps=200, active=" + activeRequests.getAndDecrement() + ",other=x");
                exchange.sendResponseHeaders(200, 2);
                exchange.getResponseBody().write("ok".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
                exchange.close();
            });
            server.start();
        }
    }

    private static final class Balancer {
        final EventLoopThread eventLoop = new EventLoopThread();
        final InetSocketAddress address;
        final CallDispatcher calls;
        final AtomicInteger peerMessages = new AtomicInteger();
        PeerSocket peers;

        Balancer(boolean isNew, int instanceIndex, List<InetSocketAddress> addresses) throws Exception {
            var settings = JSON.readTree("""
                {"az":"a","zones":["a"],"tier":0,"step":1,"membershipMode":"subscribe","billedValueBy":"work","weightSource":"none",
                 "me":%d,"replicasOfMe":%d,"reporting":{"source":"%s","columns":["rps","active"]},
                 "limits":{"connIdle":30000,"connectTimeout":250,"mayCancel":true,"mostShots":3,"secondCopies":true,"peers":%b},
                 "rules":{"askWithin":10000,"cold":20000,"coldShare":0.2,"fallMultiple":2.5},
                 "products":[{"name":"read","clientTimeout":2000,"latencySlo":1000,"semantics":"free"},
                   {"name":"once","clientTimeout":2000,"latencySlo":1000,"semantics":"single_shot"}]}""".formatted(
                            instanceIndex, isNew ? 40 : BALANCERS_PER_DEPLOYMENT, isNew ? "answers" : "none", isNew));
            Limits limits = Limits.of(JSON.readTree("{\"sockets\":1024}"), settings);
            MinaNetwork network = new MinaNetwork(limits, eventLoop);
            try (ServerSocket any = new ServerSocket(0, 1, LOOPBACK)) {
                address = new InetSocketAddress(LOOPBACK, any.getLocalPort());
            }
            calls = new CallDispatcher(
                    eventLoop,
                    limits,
                    SettingsReader.read(settings),
                    instanceIndex + 1,
                    network,
                    new InetSocketAddress(LOOPBACK, 1),
                    0);
            if (isNew) {
                peers = new PeerSocket(addresses, instanceIndex, eventLoop, (peer, message) -> {
                    peerMessages.incrementAndGet();
                    calls.onPeerMessage(peer, message);
                });
                eventLoop.execute(() -> calls.setPeerChannel(new PeerChannel() {
                    @Override
                    public void sendLoadGossip(int peer, byte[] message) {
                        peers.send(peer, message);
                    }

                    @Override
                    public byte[] onMessage(int peer, byte[] message) {
                        return message;
                    }
                }));
            }
            network.listen(address, () -> new ClientConnection(limits, eventLoop, calls));
            eventLoop.execute(calls::acceptCalls);
        }

        void updateEndpoints(List<StandIn> upstreams, EndpointState first) {
            List<Endpoint> entries = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
            for (StandIn u : upstreams) {
                String id = "u" + upstreams.indexOf(u);
                EndpointState state = entries.isEmpty() ? first : EndpointState.READY;
                entries.add(new Endpoint(id, state, 0, OptionalInt.of(0), 1, "", Optional.of("a")));
                addresses.put(id, u.server.getAddress());
            }
            eventLoop.execute(() -> calls.watchEvent(
                    new WatchEvent(1, new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, entries), addresses)));
        }
    }

    /**
     * Guards against violations of rules 1, 2 and 3 in either deployment while both run: a call without exactly one response, a
     * non-idempotent request that is executed twice, requests to a draining upstream. Neither deployment may starve the other.
     */
    @Test
    void oldAndNewDeploymentServeTogetherWithoutRuleViolations() throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < BALANCERS_PER_DEPLOYMENT; i++) {
            try (DatagramSocket any = new DatagramSocket(0, LOOPBACK)) {
                addresses.add(new InetSocketAddress(LOOPBACK, any.getLocalPort()));
            }
        }
        List<StandIn> upstreams = List.of(new StandIn(), new StandIn(), new StandIn());
        List<Balancer> balancers = new ArrayList<>();
        for (int i = 0; i < 2 * BALANCERS_PER_DEPLOYMENT; i++) {
            balancers.add(new Balancer(i >= BALANCERS_PER_DEPLOYMENT, i % BALANCERS_PER_DEPLOYMENT, addresses));
            balancers.get(i).updateEndpoints(upstreams, EndpointState.READY);
        }
        AtomicInteger[] served = {new AtomicInteger(), new AtomicInteger()};
        AtomicInteger[] sent = {new AtomicInteger(), new AtomicInteger()};
        List<String> failures = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4 * BALANCERS_PER_DEPLOYMENT; i++) {
            Balancer balancer = balancers.get(i / 2);
            int deployment = i / 2 >= BALANCERS_PER_DEPLOYMENT ? 1 : 0;
            String name = "c" + i + "-";
            clients.add(new Thread(() -> {
                HttpClient http = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build();
                for (int n = 0; n < 60; n++) {
                    boolean once = n % 2 == 1;
                    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(
                                    "http://127.0.0.1:" + balancer.address.getPort() + (once ? "/once/x" : "/read/x")))
                            .timeout(Duration.ofSeconds(5))
                            .header("X-Correlation-Id", name + n)
                            .header("X-Time-Left", "2000m");
                    sent[deployment].incrementAndGet();
                    try {
                        HttpResponse<String> response = http.send(
                                (once ? request.POST(HttpRequest.BodyPublishers.ofString("hi")) : request.GET())
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                        served[deployment].addAndGet(
                                response.statusCode() == 200 && response.body().equals("ok") ? 1 : 0);
                    } catch (Exception e) {
                        synchronized (failures) {
                            failures.add(name + n + ": " + e);
                        }
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        // Waits for received requests rather than a fixed time, as a first call may take longer on a busy machine.
        for (int n = 0; n < 2_000 && upstreams.stream().anyMatch(u -> u.receivedRequests.get() < 5); n++) {
            Thread.sleep(5);
        }
        balancers.forEach(b -> b.updateEndpoints(upstreams, EndpointState.DRAINING));
        Thread.sleep(250);
        int requestsAtDrain = upstreams.get(0).receivedRequests.get();
        for (Thread client : clients) {
            client.join(30_000);
        }
        assertEquals(List.of(), failures, "each call receives one response");
        assertEquals(
                requestsAtDrain,
                upstreams.get(0).receivedRequests.get(),
                "the draining upstream receives no request after the drain grace");
        assertTrue(
                requestsAtDrain > 0 && upstreams.get(1).receivedRequests.get() > 0,
                requestsAtDrain + " " + upstreams.get(1).receivedRequests);
        upstreams.forEach(u -> u.executions.forEach((id, times) -> assertTrue(
                Integer.parseInt(id.substring(id.indexOf('-') + 1)) % 2 == 0
                        || (times == 1
                                && upstreams.stream()
                                                .filter(v -> v.executions.containsKey(id))
                                                .count()
                                        == 1),
                id + " was executed more than once")));
        for (int deployment = 0; deployment < 2; deployment++) {
            assertTrue(
                    served[deployment].get() > 0.9 * sent[deployment].get(),
                    "deployment " + deployment + ": " + served[deployment] + " of " + sent[deployment]);
        }
        assertTrue(
                balancers.get(BALANCERS_PER_DEPLOYMENT).peerMessages.get()
                                + balancers
                                        .get(BALANCERS_PER_DEPLOYMENT + 1)
                                        .peerMessages
                                        .get()
                        > 0,
                "the balancers of the new deployment receive messages from each other");
        balancers.stream().filter(b -> b.peers != null).forEach(b -> b.peers.close());
        upstreams.forEach(u -> u.server.stop(0));
    }
}
