package gorsestack.lab.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.lab.net.Addresses;
import gorsestack.lab.net.FaultyListener;
import gorsestack.lab.verify.Records.EndpointChange;
import gorsestack.lab.verify.Records.ListCall;
import gorsestack.lab.verify.Records.StatusDelivery;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A stand-in for the discovery service of all balancers. It processes calls one after another at a limited rate, and sends changes of the
 * endpoint list to the balancers that have a watch. Faults make it slow, silent or unavailable. Confined to the event loop.
 */
public final class Discovery implements AutoCloseable {
    /** The status of an endpoint that may be called. */
    public static final String IN_SERVICE = "in_service";
    /** The status of an endpoint that is draining. */
    public static final String TERMINATING = "terminating";
    /** The status of an endpoint that has terminated. */
    public static final String TERMINATED = "terminated";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MEMBERS_PATH = "/catalog/members";
    private static final int MAX_REQUEST_BODY_BYTES = 1 << 16;
    private static final long HEARTBEAT_INTERVAL_NANOS = 2_000_000_000L;
    /** The time from a move to a new address until the listeners of the old one are closed. */
    private static final long OLD_ADDRESS_LIFETIME_NANOS = 1_500_000_000L;

    /** The index of the endpoint list before its first change. */
    private static final long FIRST_INDEX = 41;

    /** An upstream with its status; the time since which it is in service is in milliseconds since the epoch, or 0. */
    private record Endpoint(Upstream upstream, String status, long sinceMs) {}

    /** A change of an endpoint, and the index of the list that contains it. */
    private record Change(long index, Endpoint endpoint) {}

    private final Testbed testbed;
    private final UpstreamPool upstreams;
    private final Map<Integer, FaultyListener> listeners = new LinkedHashMap<>();
    private final Map<Integer, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<Change> history = new ArrayList<>();
    /** The connections over which balancers receive changes. */
    private final Set<Connection> watches = new LinkedHashSet<>();
    /** The number of the current version of the endpoint list. */
    private long index = FIRST_INDEX;
    /** The time at which all calls accepted so far have been processed. */
    private long freeAt;

    private double callsPerSecond;
    /** The delay of changes, in seconds. */
    private double propagationDelay;

    /** Whether requests are ignored and neither changes nor heartbeats are sent. */
    private boolean silent;

    private int generation;

    /** Starts discovery with all upstreams of the pool in service. */
    public Discovery(Testbed testbed, UpstreamPool upstreams) {
        this.testbed = testbed;
        this.upstreams = upstreams;
        callsPerSecond = testbed.scenario.discovery().callsPerSecond();
        propagationDelay = testbed.scenario.discovery().propagationDelay();
        upstreams.all.forEach(
                upstream -> endpoints.put(upstream.number, new Endpoint(upstream, IN_SERVICE, upstream.startedAtMs)));
        testbed.onClockShift(setBack -> freeAt -= setBack);
        listen();
        testbed.after(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
    }

    private void listen() {
        for (int i = 0; i < testbed.scenario.processes(); i++) {
            int balancer = i;
            FaultyListener listener = new FaultyListener(
                    testbed.loop,
                    testbed.addresses.discovery(balancer, generation),
                    testbed.links.between("n" + balancer, "discovery"),
                    testbed.random.split(),
                    channel -> initializeConnection(channel, balancer));
            listeners.put(balancer, listener);
            listener.open();
        }
    }

    private void initializeConnection(SocketChannel channel, int balancer) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
                        new Connection(balancer));
    }

    /** Returns the number of times that discovery has moved to another address. */
    public int generation() {
        return generation;
    }

    /** Returns the endpoint list for a balancer, in the form in which its configuration contains it. */
    public ObjectNode endpointList(int balancer) {
        return endpointList(balancer, true, endpoints.values());
    }

    private ObjectNode endpointList(int balancer, boolean snapshot, Iterable<Endpoint> selection) {
        ObjectNode list = JSON.createObjectNode().put("index", index).put("snapshot", snapshot);
        ArrayNode nodes = list.putArray("endpoints");
        int tier = calledTier(balancer);
        for (Endpoint endpoint : selection) {
            boolean omitted = snapshot && endpoint.status.equals(TERMINATED);
            if (endpoint.upstream.tier == tier && !omitted) {
                addEndpoint(nodes.addObject(), balancer, endpoint);
            }
        }
        return list;
    }

    private void addEndpoint(ObjectNode node, int balancer, Endpoint endpoint) {
        Upstream upstream = endpoint.upstream;
        node.put("name", upstream.name())
                .put("address", Addresses.format(testbed.addresses.upstream(balancer, upstream.number)))
                .put("zone", upstream.zone)
                .put("type", upstream.slow() ? "other" : "usual")
                .put("group", upstream.cell)
                .put("status", endpoint.status)
                .put("weight", 1.0)
                .put("since_ms", endpoint.sinceMs);
    }

    /** Returns the tier whose upstreams a balancer calls. */
    private int calledTier(int balancer) {
        int tier = 0;
        while (!upstreams.callers(tier).contains(balancer)) {
            tier++;
        }
        return tier;
    }

    /** Publishes a new status of an upstream after the propagation delay. */
    public void publish(Upstream upstream, String status) {
        testbed.after((long) (propagationDelay * 1e9), () -> apply(upstream, status));
    }

    private void apply(Upstream upstream, String status) {
        long sinceMs = status.equals(IN_SERVICE) ? System.currentTimeMillis() - (long) (propagationDelay * 1e3) : 0;
        Endpoint endpoint = new Endpoint(upstream, status, sinceMs);
        if (status.equals(TERMINATED)) {
            endpoints.remove(upstream.number);
        } else {
            endpoints.put(upstream.number, endpoint);
        }
        index++;
        history.add(new Change(index, endpoint));
        testbed.records.endpointChanges.add(new EndpointChange(upstream.number, status, testbed.now()));
        if (!silent) {
            List.copyOf(watches).forEach(watch -> watch.sendChanges(List.of(endpoint)));
        }
    }

    private void sendHeartbeats() {
        if (!silent) {
            List.copyOf(watches).forEach(watch -> watch.write("\n"));
        }
        testbed.after(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
    }

    /** Resets all connections and refuses new ones, or accepts connections again. */
    public void setDown(boolean down) {
        for (FaultyListener listener : listeners.values()) {
            if (down) {
                listener.refuse(true);
            } else {
                listener.open();
            }
        }
    }

    /**
     * Begins or ends a silence. While it lasts, requests are ignored, and neither changes nor heartbeats are sent; these changes are not
     * sent later to the watches of that time. Calls accepted before still get their responses.
     */
    public void setSilent(boolean enabled) {
        silent = enabled;
    }

    /** Limits the rate at which calls are processed. */
    public void setCallsPerSecond(double rate) {
        callsPerSecond = rate;
    }

    /** Sets the delay in seconds with which changes are published. */
    public void setPropagationDelay(double seconds) {
        propagationDelay = seconds;
    }

    /** Sends part of a line to each watch, and nothing more after it. */
    public void sendPartialLine() {
        for (Connection watch : List.copyOf(watches)) {
            watch.write("{\"index\":" + (index + 1) + ",\"snapshot\":false,\"endp");
            watches.remove(watch);
        }
    }

    /**
     * Moves to another address. The old one accepts no more connections. Its listeners are closed later, which resets all connections of
     * their links, also those to the new address.
     */
    public void moveAddress() {
        List<FaultyListener> oldListeners = new ArrayList<>(listeners.values());
        generation++;
        listeners.clear();
        oldListeners.forEach(listener -> listener.refuse(false));
        listen();
        testbed.after(OLD_ADDRESS_LIFETIME_NANOS, () -> oldListeners.forEach(FaultyListener::close));
    }

    @Override
    public void close() {
        listeners.values().forEach(FaultyListener::close);
    }

    /** A connection of one balancer, which carries calls and at most one watch. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int balancer;
        private ChannelHandlerContext context;

        Connection(int balancer) {
            this.balancer = balancer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            context = ctx;
            if (silent) {
                return;
            }
            long now = testbed.now();
            long start = Math.max(now, freeAt);
            long maxWait = (long) (testbed.scenario.discovery().maxWait() * 1e9);
            if (start - now > maxWait) {
                testbed.records.listCalls.add(new ListCall(balancer, now, "waited too long"));
                testbed.after(maxWait, () -> respond(HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
                return;
            }
            freeAt = start + (long) (1e9 / callsPerSecond);
            String uri = request.uri();
            boolean watch = uri.contains("watch=1");
            testbed.records.listCalls.add(new ListCall(balancer, now, watch ? "watch" : "list"));
            testbed.at(freeAt, () -> process(uri, watch));
        }

        private void process(String uri, boolean watch) {
            if (!uri.startsWith(MEMBERS_PATH)) {
                respond(HttpResponseStatus.NOT_FOUND, "");
            } else if (watch) {
                startWatch(afterIndex(uri));
            } else {
                respond(HttpResponseStatus.OK, endpointList(balancer).toString());
                recordDelivery(endpoints.values());
            }
        }

        /** Returns the index after which a watch wants changes; 0 if the request names no valid one. */
        private static long afterIndex(String uri) {
            int start = uri.indexOf("after=");
            try {
                return start < 0
                        ? 0
                        : Long.parseLong(
                                uri.substring(start + "after=".length()).split("&")[0]);
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        private void respond(HttpResponseStatus status, String body) {
            context.writeAndFlush(HttpMessages.response(status, body));
        }

        /**
         * Starts a watch. First sends all changes after an index, or the whole list if the index is 0 or not one whose later changes are all
         * known, and then each new change.
         */
        private void startWatch(long afterIndex) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("Transfer-Encoding", "chunked");
            context.writeAndFlush(head);
            watches.add(this);
            boolean covered = afterIndex > 0
                    && afterIndex <= index
                    && (history.isEmpty() || afterIndex >= history.get(0).index - 1);
            if (covered) {
                sendChanges(history.stream()
                        .filter(change -> change.index > afterIndex)
                        .map(Change::endpoint)
                        .toList());
            } else {
                sendList(true, endpoints.values());
            }
        }

        private void sendChanges(List<Endpoint> changed) {
            sendList(false, changed);
        }

        private void sendList(boolean snapshot, Collection<Endpoint> selection) {
            write(endpointList(balancer, snapshot, selection) + "\n").addListener(f -> {
                if (f.isSuccess()) {
                    recordDelivery(selection);
                }
            });
        }

        private void recordDelivery(Iterable<Endpoint> selection) {
            for (Endpoint endpoint : selection) {
                if (!endpoint.status.equals(IN_SERVICE)) {
                    testbed.records.statusDeliveries.add(
                            new StatusDelivery(balancer, endpoint.upstream.number, endpoint.status, testbed.now()));
                }
            }
        }

        private ChannelFuture write(String text) {
            return context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            watches.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
