package gorsestack.lab.standin;

import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.verify.Records;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * The upstream's end of a connection from a balancer, which carries one request at a time. It processes the requests, applies the response
 * faults of the upstream, and records the outcome of each attempt. Confined to the event loop.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /**
     * How long after a response its duplicate is sent. Balancers watch an idle connection for 10 ms, so the duplicate must arrive within
     * that time.
     */
    private static final long DUPLICATE_RESPONSE_DELAY_NANOS = 2_000_000L;

    private static final String MALFORMED_RESPONSE = "HTTP/1.1 2x0 ?\r\n\u0001\u0002: \r\n\r\n";

    private final Testbed testbed;
    private final Upstream upstream;
    private final int balancer;
    private final ArrivalTimeHandler arrivalTimes;
    /** The job of the last attempt; null if there was none or the queue was full. */
    private CapacityModel.Job job;
    /** The attempt that has no outcome yet; null if there is none. */
    private UpstreamAttempt attemptInProgress;

    UpstreamConnection(Testbed testbed, Upstream upstream, int balancer, ArrivalTimeHandler arrivalTimes) {
        this.testbed = testbed;
        this.upstream = upstream;
        this.balancer = balancer;
        this.arrivalTimes = arrivalTimes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        long startedAt = arrivalTimes.takeArrivalTime();
        String id = request.headers().get(HttpMessages.CORRELATION_ID, "");
        Product product = product(request.uri());
        if (id.isEmpty() || product == null || request.decoderResult().isFailure()) {
            respond(ctx, HttpResponseStatus.NOT_FOUND, "");
            return;
        }
        testbed.idsSeenUpstream.add(id);
        UpstreamAttempt attempt = new UpstreamAttempt(
                id,
                request.headers().get(HttpMessages.IDEMPOTENCY_KEY, ""),
                product.name(),
                upstream.tier,
                upstream.number,
                upstream.zone,
                upstream.cell,
                balancer,
                startedAt,
                testbed.now(),
                "out",
                true,
                Records.NEVER);
        handle(ctx, attempt, product);
    }

    /** Returns the product that a path names; null if the scenario has none of that name. */
    private Product product(String uri) {
        String name = uri.substring(1).split("[/?]", 2)[0];
        return testbed.scenario.products().stream()
                .filter(product -> product.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    private void handle(ChannelHandlerContext ctx, UpstreamAttempt attempt, Product product) {
        if (upstream.rejecting()) {
            reject(ctx, attempt);
        } else if (upstream.faults.drawError()) {
            fail(ctx, attempt, "error");
        } else if (repeats(attempt, product)) {
            ChannelFuture written = respond(ctx, HttpResponseStatus.OK, body(attempt) + " again");
            recordWhenWritten(written, attempt, "repeat", false);
        } else {
            process(ctx, attempt, product);
        }
    }

    /**
     * Returns whether the idempotency key of an attempt was received within the repeat window by an upstream that shares its keys with this
     * one, and records the key otherwise.
     */
    private boolean repeats(UpstreamAttempt attempt, Product product) {
        long window = (long) (product.repeatWindow() * 1e9);
        return !attempt.key().isEmpty()
                && upstream.idempotencyStore.repeats(keyScope(product), attempt.key(), attempt.receivedAt(), window);
    }

    private String keyScope(Product product) {
        return switch (product.keyScope()) {
            case "all" -> "all";
            case "cell" -> "cell" + upstream.cell;
            default -> "zone" + upstream.zone;
        };
    }

    private void process(ChannelHandlerContext ctx, UpstreamAttempt attempt, Product product) {
        // The work is derived from the id alone, so that it does not depend on the order of the requests.
        double work = product.workMs() * StrictMath.exp(product.workSigma() * gaussian(attempt.id()));
        boolean callsNextTier = upstream.callsNextTier();
        attemptInProgress = attempt;
        job = upstream.capacity.accept(callsNextTier ? work / 2 : work, accepted -> {
            if (callsNextTier) {
                callNextTier(ctx, accepted, attempt, product, upstream.settings.callsToNextTier(), work / 2);
            } else {
                finish(ctx, accepted, attempt);
            }
        });
        if (job == null) {
            attemptInProgress = null;
            reject(ctx, attempt);
        }
    }

    private static double gaussian(String id) {
        return new Random(id.hashCode() * 31L + 7).nextGaussian();
    }

    /** Makes the remaining calls to the next tier one after another, and then does the second half of the work. */
    @SuppressWarnings("ReferenceEquality") // Compares with the same attempt, not with an equal one.
    private void callNextTier(
            ChannelHandlerContext ctx,
            CapacityModel.Job accepted,
            UpstreamAttempt attempt,
            Product product,
            int remainingCalls,
            double remainingWork) {
        if (remainingCalls == 0) {
            upstream.capacity.addWork(accepted, remainingWork, done -> finish(ctx, done, attempt));
            return;
        }
        String id = upstream.nextTierId(attempt.id());
        long deadline = testbed.now() + (long) (product.timeoutMs() * 1e6);
        HttpMessages.ServiceRequest request =
                new HttpMessages.ServiceRequest(product, id, attempt.key(), "", product.timeoutMs());
        upstream.nextTierClient.call(HttpMessages.serviceRequest(request), id, deadline, response -> {
            if (response.outcome().equals("200")) {
                callNextTier(ctx, accepted, attempt, product, remainingCalls - 1, remainingWork);
            } else if (attemptInProgress == attempt) {
                upstream.capacity.release(accepted);
                attemptInProgress = null;
                fail(ctx, attempt, "behind");
            }
        });
    }

    @SuppressWarnings("ReferenceEquality") // Compares with the same attempt, not with an equal one.
    private void finish(ChannelHandlerContext ctx, CapacityModel.Job done, UpstreamAttempt attempt) {
        upstream.capacity.release(done);
        if (attemptInProgress != attempt) {
            return;
        }
        attemptInProgress = null;
        if (upstream.faults.drawLostResponse()) {
            record(attempt, "answer lost", true, Records.NEVER);
        } else if (upstream.faults.drawMalformed()) {
            record(attempt, "spoilt", true, Records.NEVER);
            writeRaw(ctx, MALFORMED_RESPONSE);
        } else if (upstream.faults.draw(ResponseAnomaly.CUT)) {
            record(attempt, "cut", true, Records.NEVER);
            respondPartially(ctx, body(attempt));
        } else if (upstream.faults.draw(ResponseAnomaly.NO_LENGTH)) {
            ChannelFuture written = writeRaw(ctx, "HTTP/1.1 200 OK\r\n\r\n" + body(attempt));
            recordWhenWritten(written, attempt, "served", true);
            written.addListener(f -> ctx.close());
        } else {
            serve(ctx, attempt);
        }
    }

    /** Returns the body of a response. Clients recognize by it that an upstream produced the response for their request. */
    private String body(UpstreamAttempt attempt) {
        return attempt.id() + " " + upstream.name();
    }

    /** Sends a valid response, and a duplicate or the close of the connection after it if an anomaly is drawn. */
    private void serve(ChannelHandlerContext ctx, UpstreamAttempt attempt) {
        String body = body(attempt);
        ChannelFuture written = respond(ctx, HttpResponseStatus.OK, body);
        recordWhenWritten(written, attempt, "served", true);
        if (upstream.faults.draw(ResponseAnomaly.TWICE)) {
            testbed.after(
                    DUPLICATE_RESPONSE_DELAY_NANOS,
                    () -> writeRaw(ctx, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        }
        if (upstream.faults.draw(ResponseAnomaly.CLOSES_IDLE)) {
            written.addListener(f -> ctx.close());
        }
    }

    /** Sends the head and a part of the body of a response, and resets the connection. */
    private static void respondPartially(ChannelHandlerContext ctx, String part) {
        writeRaw(ctx, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + part)
                .addListener(f -> {
                    ((SocketChannel) ctx.channel()).config().setSoLinger(0);
                    ctx.close();
                });
    }

    private void fail(ChannelHandlerContext ctx, UpstreamAttempt attempt, String reason) {
        record(attempt, "error", true, Records.NEVER);
        respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, reason);
    }

    /** Responds that the request was not processed, so that the balancer may send it to another upstream. */
    private void reject(ChannelHandlerContext ctx, UpstreamAttempt attempt) {
        FullHttpResponse response = HttpMessages.response(HttpResponseStatus.SERVICE_UNAVAILABLE, "full");
        response.headers().set("X-Unprocessed", "1");
        recordWhenWritten(ctx.writeAndFlush(response), attempt, "unprocessed", false);
    }

    private static ChannelFuture respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        return ctx.writeAndFlush(HttpMessages.response(status, body));
    }

    /** Writes bytes that the HTTP encoder does not process. */
    private static ChannelFuture writeRaw(ChannelHandlerContext ctx, String text) {
        return ctx.channel()
                .pipeline()
                .context(HttpServerCodec.class)
                .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private void recordWhenWritten(ChannelFuture written, UpstreamAttempt attempt, String outcome, boolean executed) {
        written.addListener(f -> record(attempt, outcome, executed, f.isSuccess() ? testbed.now() : Records.NEVER));
    }

    private void record(UpstreamAttempt attempt, String outcome, boolean executed, long respondedAt) {
        testbed.records.upstreamAttempts.add(attempt.ended(outcome, executed, respondedAt));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (attemptInProgress != null) {
            boolean finishes = upstream.settings.finishesAbandonedWork();
            boolean executed = job == null || job.running() || finishes;
            if ((testbed.scenario.rules().mayCancel() || !executed) && !finishes) {
                upstream.capacity.release(job);
            }
            record(attemptInProgress, upstream.up() ? "cancelled" : "died", executed, Records.NEVER);
            attemptInProgress = null;
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
