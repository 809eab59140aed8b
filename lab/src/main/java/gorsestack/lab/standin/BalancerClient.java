package gorsestack.lab.standin;

import gorsestack.lab.net.Link;
import gorsestack.lab.net.LinkHandler;
import gorsestack.lab.verify.Records;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The HTTP client with which one party calls one balancer: the clients and front proxy of a zone, or an upstream that calls its sidecar. A
 * connection carries one request at a time and is kept for later requests. Another one is opened if all are busy. Confined to the event
 * loop.
 */
final class BalancerClient implements AutoCloseable {
    /**
     * The end of a request. The outcome is the status of the response, or one of closed, refused, unreachable, timeout and left (abandoned
     * by the client). The value of Retry-After is in seconds, 0 if there is none and negative if it is invalid. Times are those of the
     * testbed's clock.
     */
    record Response(
            String outcome, String body, double retryAfter, long sentAt, long endedAt, boolean firstOnConnection) {

        /** Returns the end of a request that was never sent. */
        static Response notSent(String outcome, long endedAt) {
            return new Response(outcome, "", 0, Records.NEVER, endedAt, true);
        }

        /** Returns the end of the same request if its client has abandoned it. */
        Response abandoned() {
            return new Response("left", "", 0, sentAt, endedAt, firstOnConnection);
        }
    }

    private static final long MAX_IDLE_NANOS = 10_000_000_000L;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final double INVALID_RETRY_AFTER = -1;

    private final Testbed testbed;
    private final Link link;
    private final InetSocketAddress address;
    private final int balancer;
    private final SplittableRandom random;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();

    BalancerClient(Testbed testbed, String party, int balancer) {
        this.testbed = testbed;
        this.balancer = balancer;
        link = testbed.links.between(party, "n" + balancer);
        address = testbed.addresses.balancer(balancer);
        random = testbed.random.split();
        testbed.onClockShift(setBack -> idleConnections.forEach(connection -> connection.idleSince -= setBack));
    }

    /**
     * Sends a request. The handler is called once, at the deadline at the latest or, if a connection is still being opened then, when that
     * attempt has ended.
     */
    void call(FullHttpRequest request, String id, long deadline, Consumer<Response> handler) {
        while (!idleConnections.isEmpty() && idleConnections.peekFirst().idleSince < testbed.now() - MAX_IDLE_NANOS) {
            idleConnections.pollFirst().channel.close();
        }
        if (!idleConnections.isEmpty()) {
            idleConnections.pollLast().send(request, id, deadline, handler);
        } else if (link.reachable()) {
            connect(request, id, deadline, handler);
        } else {
            long connectTimeout = testbed.now() + CONNECT_TIMEOUT_MS * 1_000_000L;
            testbed.at(
                    Math.min(deadline, connectTimeout),
                    () -> handler.accept(Response.notSent("unreachable", testbed.now())));
        }
    }

    private void connect(FullHttpRequest request, String id, long deadline, Consumer<Response> handler) {
        Connection connection = new Connection();
        ChannelFuture connecting = new Bootstrap()
                .group(testbed.loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LinkHandler(link, false, random),
                                        new HttpRequestEncoder(),
                                        new HttpResponseDecoder(),
                                        new HttpObjectAggregator(HttpMessages.MAX_BODY_BYTES),
                                        connection);
                    }
                })
                .connect(address);
        connection.channel = connecting.channel();
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                connection.send(request, id, deadline, handler);
            } else {
                handler.accept(Response.notSent("refused", testbed.now()));
            }
        });
    }

    /** Closes idle connections. */
    @Override
    public void close() {
        while (!idleConnections.isEmpty()) {
            idleConnections.pollFirst().channel.close();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        /** The id of the last request; empty before the first one. */
        private String id = "";

        /** The handler of the request in progress; null if there is none. */
        private Consumer<Response> handler;

        /** When the last request was written to the socket. */
        private long sentAt = Records.NEVER;

        /** Whether a response has been received on this connection. */
        private boolean responseReceived;

        /** Whether the last request was sent before any response had been received. */
        private boolean firstRequest;

        private long idleSince;
        private Runnable cancelTimeout = () -> {};

        void send(FullHttpRequest request, String requestId, long deadline, Consumer<Response> responseHandler) {
            id = requestId;
            handler = responseHandler;
            firstRequest = !responseReceived;
            sentAt = Records.NEVER;
            cancelTimeout = testbed.at(deadline, () -> abort("timeout"));
            channel.writeAndFlush(request).addListener(f -> {
                if (f.isSuccess()) {
                    sentAt = testbed.now();
                }
            });
        }

        /** Ends the request in progress, if there is one, without a response, and closes the connection. */
        private void abort(String outcome) {
            Consumer<Response> pendingHandler = takeHandler();
            if (channel != null) {
                channel.close();
            }
            if (pendingHandler != null) {
                pendingHandler.accept(new Response(outcome, "", 0, sentAt, testbed.now(), firstRequest));
            }
        }

        private Consumer<Response> takeHandler() {
            Consumer<Response> pendingHandler = handler;
            handler = null;
            cancelTimeout.run();
            return pendingHandler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (handler == null) {
                testbed.records.extraResponses.add(new Records.ExtraResponse(balancer, id, testbed.now()));
            }
            if (handler == null || response.decoderResult().isFailure()) {
                abort("closed");
                ctx.close();
                return;
            }
            responseReceived = true;
            boolean keepAlive = HttpUtil.isKeepAlive(response);
            takeHandler()
                    .accept(new Response(
                            Integer.toString(response.status().code()),
                            response.content().toString(StandardCharsets.UTF_8),
                            retryAfter(response),
                            sentAt,
                            testbed.now(),
                            firstRequest));
            if (keepAlive) {
                idleSince = testbed.now();
                idleConnections.addLast(this);
            } else {
                ctx.close();
            }
        }

        private static double retryAfter(FullHttpResponse response) {
            String value = response.headers().get("Retry-After");
            if (value == null) {
                return 0;
            }
            try {
                return Double.parseDouble(value);
            } catch (NumberFormatException e) {
                return INVALID_RETRY_AFTER;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            abort("closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
