package gorsestack.proxy;

import gorsestack.wire.Channel;
import gorsestack.wire.ConnectionHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Passes the events of a connection to its handler, counts them, and withholds its opening and its input if the test requests it. */
final class HandlerSpy implements ConnectionHandler {
    /** The address to which the connection was opened; null for an accepted connection. */
    final InetSocketAddress remoteAddress;

    Channel channel;
    int receivedCount;
    int sentCount;
    int closedCount;
    private final ConnectionHandler handler;
    /** The opening and the input that the event loop has delivered and the handler has not received; null while none are withheld. */
    private List<Runnable> withheld;

    HandlerSpy(ConnectionHandler handler, InetSocketAddress remoteAddress) {
        this.handler = handler;
        this.remoteAddress = remoteAddress;
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        passOn(() -> handler.opened(opened));
    }

    @Override
    public void received(byte[] bytes, long receivedAt) {
        receivedCount++;
        passOn(() -> handler.received(bytes, receivedAt));
    }

    @Override
    public void sent() {
        sentCount++;
        handler.sent();
    }

    @Override
    public void ended() {
        handler.ended();
    }

    @Override
    public void closed() {
        closedCount++;
        handler.closed();
    }

    private void passOn(Runnable event) {
        if (withheld != null) {
            withheld.add(event);
        } else {
            event.run();
        }
    }

    /** Withholds the opening and input until {@link #release()}, so that those of two connections can be handled in either order. */
    void withhold() {
        withheld = new ArrayList<>();
    }

    /** Passes the withheld events to the handler, and all later ones without delay. */
    void release() {
        List<Runnable> events = withheld;
        withheld = null;
        events.forEach(Runnable::run);
    }
}
