package gorsestack.lab.standin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Behind the link, before the codec: when the first byte of each message came, as rules count from there. */
final class Stamp extends ChannelInboundHandlerAdapter {
    private final World world;
    private boolean begun;
    private long at;

    Stamp(World world) {
        this.world = world;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!begun) {
            begun = true;
            at = world.now();
        }
        ctx.fireChannelRead(message);
    }

    /** Of the message that is whole now. */
    long take() {
        begun = false;
        return at;
    }
}
