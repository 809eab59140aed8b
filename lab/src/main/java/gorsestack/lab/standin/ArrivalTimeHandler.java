package gorsestack.lab.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notes when the first byte of each request arrives at an upstream, which counts as the start of the attempt. Its place in the pipeline of
 * an {@link UpstreamConnection} is between the handler of the link and the HTTP codec. Confined to the event loop.
 */
final class ArrivalTimeHandler extends ChannelInboundHandlerAdapter {
    private final Testbed testbed;
    /** Whether a byte of the request that is being received has arrived. */
    private boolean requestBegun;

    private long firstByteAt;

    ArrivalTimeHandler(Testbed testbed) {
        this.testbed = testbed;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!requestBegun) {
            requestBegun = true;
            firstByteAt = testbed.now();
        }
        ctx.fireChannelRead(message);
    }

    /** Returns the arrival time of the request that has just been decoded. The next byte counts as the first one of the next request. */
    long takeArrivalTime() {
        requestBegun = false;
        return firstByteAt;
    }
}
