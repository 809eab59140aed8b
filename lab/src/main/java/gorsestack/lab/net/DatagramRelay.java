package gorsestack.lab.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Forwards datagrams between two balancers, and applies the state of the link between them: loses datagrams during drops and stalls and
 * with the loss of the link, and applies delay, jitter, duplicates and reordering. Each balancer sends to the address that its
 * configuration lists for the peer. The receiver sees the address that its own configuration lists for the sender as the source, so that
 * its check of the source address succeeds. A {@code ScenarioRun} with peers creates one for each pair of balancers. Confined to the event
 * loop.
 */
public final class DatagramRelay implements AutoCloseable {
    /** The maximum extra delay of a reordered datagram, long enough that some tens of later datagrams overtake it. */
    private static final double MAX_REORDER_DELAY_MS = 20;

    private final SplittableRandom random;
    private final Runnable onDatagram;
    private Channel firstChannel;
    private Channel secondChannel;

    /** Creates a relay between two balancers and binds its sockets. The callback runs on the event loop for each datagram received. */
    public DatagramRelay(
            EventLoop loop,
            Addresses addresses,
            int firstBalancer,
            int secondBalancer,
            Link link,
            SplittableRandom random,
            Runnable onDatagram) {
        this.random = random;
        this.onDatagram = onDatagram;
        firstChannel = bind(
                loop,
                addresses.relay(firstBalancer, secondBalancer),
                () -> secondChannel,
                addresses.datagrams(secondBalancer),
                link.forward);
        secondChannel = bind(
                loop,
                addresses.relay(secondBalancer, firstBalancer),
                () -> firstChannel,
                addresses.datagrams(firstBalancer),
                link.backward);
    }

    private Channel bind(
            EventLoop loop,
            InetSocketAddress address,
            Supplier<Channel> outgoingChannel,
            InetSocketAddress receiver,
            Link.Direction direction) {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        onDatagram.run();
                        forward(loop, packet.content().retain(), outgoingChannel.get(), receiver, direction);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // All exceptions are ignored. The expected one is an ICMP port unreachable, which the kernel
                        // reports when the receiver is down.
                    }
                })
                .bind(address)
                .channel();
    }

    private void forward(
            EventLoop loop,
            ByteBuf bytes,
            Channel outgoingChannel,
            InetSocketAddress receiver,
            Link.Direction direction) {
        if (direction.blocked() || random.nextDouble() < direction.loss) {
            bytes.release();
            return;
        }
        for (int i = random.nextDouble() < direction.duplicate ? 1 : 0; i >= 0; i--) {
            double delayMs = direction.delayMs + direction.jitterMs * random.nextDouble();
            delayMs += random.nextDouble() < direction.reorder ? MAX_REORDER_DELAY_MS * random.nextDouble() : 0;
            ByteBuf content = i == 0 ? bytes : bytes.copy();
            if (delayMs == 0) {
                outgoingChannel.writeAndFlush(new DatagramPacket(content, receiver));
            } else {
                loop.schedule(
                        () -> outgoingChannel.writeAndFlush(new DatagramPacket(content, receiver)),
                        (long) (delayMs * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    @Override
    public void close() {
        firstChannel.close();
        secondChannel.close();
    }
}
