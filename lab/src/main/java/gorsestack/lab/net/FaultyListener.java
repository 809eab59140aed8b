package gorsestack.lab.net;

import gorsestack.lab.InternalErrors;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Listens for the connections of a link, on behalf of an upstream or of discovery. It accepts connections while it is open, and refuses
 * them otherwise. While the link drops packets, connection attempts time out: a black hole, which is a second listener whose accept queue
 * is full, is bound to the address, so that the kernel ignores SYNs. Confined to the event loop.
 */
public final class FaultyListener implements AutoCloseable {
    /**
     * The number of connections that fill the accept queue of the black hole. A backlog of one holds two; the third ensures that it is
     * full.
     */
    private static final int BACKLOG_FILLERS = 3;

    private static final int BACKLOG = 256;
    /** The maximum number of attempts to bind an address; there is one per millisecond. */
    private static final int MAX_BIND_ATTEMPTS = 500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Link link;
    private final Consumer<SocketChannel> connectionInitializer;
    private final SplittableRandom random;
    private final List<SocketChannel> connections = new ArrayList<>();
    private Channel listener;
    private ServerSocketChannel blackHole;
    private final List<java.nio.channels.SocketChannel> backlogFillers = new ArrayList<>();
    private boolean open;
    private boolean closed;
    private int bindFailures;

    /**
     * Creates a listener that is not open yet. The initializer adds its handlers to the pipeline of each accepted connection, after the
     * handler of the link.
     */
    public FaultyListener(
            EventLoop loop,
            InetSocketAddress address,
            Link link,
            SplittableRandom random,
            Consumer<SocketChannel> connectionInitializer) {
        this.loop = loop;
        this.address = address;
        this.link = link;
        this.random = random;
        this.connectionInitializer = connectionInitializer;
        link.onReachabilityChange(this::applyState);
    }

    /** Accepts connections from now on. */
    public void open() {
        open = true;
        applyState();
    }

    /** Refuses connections from now on. With reset, the established ones are reset too, as if the listening process had died. */
    public void refuse(boolean reset) {
        open = false;
        applyState();
        if (reset) {
            link.reset();
        }
    }

    /** Returns the number of established connections. */
    public int connections() {
        return connections.size();
    }

    private void applyState() {
        boolean reachable = link.reachable();
        boolean listening = open && reachable;
        if (!listening && listener != null) {
            listener.close();
            listener = null;
        }
        if (reachable && blackHole != null) {
            closeBlackHole();
        }
        if (!reachable && blackHole == null) {
            openBlackHole(MAX_BIND_ATTEMPTS);
        }
        if (listening && listener == null) {
            bind();
        }
    }

    /**
     * Opens the black hole, and retries if the address cannot be bound. A listener that has just been closed holds its address until its
     * selector has run once more.
     */
    private void openBlackHole(int remainingAttempts) {
        if (closed || link.reachable() || blackHole != null) {
            return; // The state of the listener or of the link has changed since this attempt was scheduled.
        }
        try {
            openBlackHole();
        } catch (IOException e) {
            if (remainingAttempts == 0) {
                InternalErrors.report(
                        new IOException("cannot simulate dropped packets at " + address + ": " + e.getMessage(), e));
            } else {
                loop.schedule(() -> openBlackHole(remainingAttempts - 1), 1, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void openBlackHole() throws IOException {
        ServerSocketChannel opened = ServerSocketChannel.open();
        try {
            opened.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            opened.bind(address, 1);
        } catch (IOException e) {
            opened.close();
            throw e;
        }
        blackHole = opened;
        for (int i = 0; i < BACKLOG_FILLERS; i++) {
            java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
            backlogFillers.add(filler);
            filler.configureBlocking(false);
            filler.connect(address);
        }
    }

    private void closeBlackHole() {
        try {
            for (java.nio.channels.SocketChannel filler : backlogFillers) {
                filler.close();
            }
            backlogFillers.clear();
            blackHole.close();
            blackHole = null;
        } catch (IOException e) {
            throw new IllegalStateException("cannot end the simulation of dropped packets at " + address, e);
        }
    }

    private void bind() {
        ChannelFuture binding = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializeConnection(channel);
                    }
                })
                .bind(address);
        Channel channel = binding.channel();
        listener = channel;
        binding.addListener(f -> {
            if (f.isSuccess() || listener != channel) {
                bindFailures = 0;
            } else {
                listener = null;
                retryBind(f.cause());
            }
        });
    }

    private void initializeConnection(SocketChannel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(f -> connections.remove(channel));
        channel.pipeline().addLast(new LinkHandler(link, true, random));
        connectionInitializer.accept(channel);
    }

    private void retryBind(Throwable cause) {
        if (++bindFailures > MAX_BIND_ATTEMPTS) {
            InternalErrors.report(new IOException("cannot listen at " + address + ": " + cause.getMessage()));
        } else {
            loop.schedule(this::applyState, 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops listening for good, whatever happens to the link, and resets all connections of the link. */
    @Override
    public void close() {
        open = false;
        closed = true;
        if (listener != null) {
            listener.close();
        }
        if (blackHole != null) {
            closeBlackHole();
        }
        link.reset();
    }
}
