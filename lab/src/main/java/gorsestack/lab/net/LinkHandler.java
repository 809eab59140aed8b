package gorsestack.lab.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Applies the state of a link to one connection, as the first handler of a stand-in's pipeline. The bytes of a blocked direction wait in
 * order. While the inbound direction is blocked, nothing is read, so that the socket buffers of the remote end fill up as they would on a
 * real network. Confined to the event loop.
 */
public final class LinkHandler extends ChannelDuplexHandler implements Link.LinkConnection {
    /** A message that is delivered at a time of System.nanoTime. A null message represents the close of the connection. */
    private record DelayedMessage(Object message, ChannelPromise promise, long dueAt) {}

    /** The delayed messages of one direction, in the order of their delivery. */
    private final class DelayQueue {
        private final Link.Direction direction;
        private final Consumer<DelayedMessage> delivery;
        private final Runnable afterDelivery;
        private final ArrayDeque<DelayedMessage> messages = new ArrayDeque<>();
        /** The time at which the last byte accepted so far has been transmitted, as a value of System.nanoTime. */
        private long freeAt;

        private boolean flushScheduled;

        DelayQueue(Link.Direction direction, Consumer<DelayedMessage> delivery, Runnable afterDelivery) {
            this.direction = direction;
            this.delivery = delivery;
            this.afterDelivery = afterDelivery;
        }

        boolean bypassed() {
            return direction.unimpaired() && messages.isEmpty();
        }

        void add(Object message, ChannelPromise promise, int bytes) {
            freeAt = dueAt(bytes);
            messages.add(new DelayedMessage(message, promise, freeAt));
            flush();
        }

        void addClose(ChannelPromise promise) {
            messages.add(new DelayedMessage(null, promise, freeAt));
            flush();
        }

        private long dueAt(int bytes) {
            long now = System.nanoTime();
            long delay = (long) ((direction.delayMs + direction.jitterMs * random.nextDouble()) * 1e6);
            long transmission = direction.bytesPerSecond == Double.POSITIVE_INFINITY
                    ? 0
                    : (long) (bytes / direction.bytesPerSecond * 1e9);
            return Math.max(now + delay, freeAt) + transmission;
        }

        private boolean waiting() {
            return !messages.isEmpty() && !direction.blocked();
        }

        void flush() {
            long now = System.nanoTime();
            boolean delivered = false;
            while (waiting() && messages.peek().dueAt <= now) {
                delivered = true;
                delivery.accept(messages.poll());
            }
            if (delivered) {
                afterDelivery.run();
            }
            if (waiting() && !flushScheduled) {
                flushScheduled = true;
                context.executor().schedule(this::scheduledFlush, messages.peek().dueAt - now, TimeUnit.NANOSECONDS);
            }
        }

        private void scheduledFlush() {
            flushScheduled = false;
            flush();
        }
    }

    private final Link link;
    private final SplittableRandom random;
    private final DelayQueue inbound;
    private final DelayQueue outbound;
    private ChannelHandlerContext context;

    /** Creates the handler for the end that accepted the connection, or else for the end that opened it. */
    public LinkHandler(Link link, boolean accepted, SplittableRandom random) {
        this.link = link;
        this.random = random;
        inbound = new DelayQueue(
                accepted ? link.forward : link.backward, this::deliverInbound, () -> context.fireChannelReadComplete());
        outbound = new DelayQueue(accepted ? link.backward : link.forward, this::deliverOutbound, () -> {});
    }

    private void deliverInbound(DelayedMessage delayed) {
        context.fireChannelRead(delayed.message);
    }

    private void deliverOutbound(DelayedMessage delayed) {
        if (delayed.message == null) {
            context.close(delayed.promise);
        } else {
            context.writeAndFlush(delayed.message, delayed.promise);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        link.add(this);
        linkChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        link.remove(this);
        inbound.messages.forEach(delayed -> ((ByteBuf) delayed.message).release());
        inbound.messages.clear();
        for (DelayedMessage delayed; (delayed = outbound.messages.poll()) != null; ) {
            if (delayed.message instanceof ByteBuf bytes) {
                bytes.release();
            }
            delayed.promise.tryFailure(new ClosedChannelException());
        }
        ctx.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (inbound.bypassed()) {
            ctx.fireChannelRead(message);
        } else {
            inbound.add(message, null, ((ByteBuf) message).readableBytes());
        }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (outbound.bypassed()) {
            ctx.write(message, promise);
        } else {
            outbound.add(message, promise, message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
        }
    }

    /**
     * Closes the connection, or delays this while the link is blocked or bytes wait: the remote end sees the close after these bytes, when
     * the link passes data again.
     */
    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
        if (outbound.direction.blocked() || !outbound.messages.isEmpty()) {
            outbound.addClose(promise);
        } else {
            ctx.close(promise);
        }
    }

    @Override
    public void linkChanged() {
        context.channel().config().setAutoRead(!inbound.direction.blocked());
        inbound.flush();
        outbound.flush();
    }

    @Override
    public void reset() {
        if (!context.channel().isOpen()) {
            return;
        }
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.channel().unsafe().close(context.channel().voidPromise());
    }
}
