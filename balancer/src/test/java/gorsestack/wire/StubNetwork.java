package gorsestack.wire;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A network that accepts no connections; each test implements connecting. */
public abstract class StubNetwork implements Network {
    @Override
    public void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers) {}

    @Override
    public void listenSeparately(InetSocketAddress address, int maxConnections, Supplier<ConnectionHandler> handlers) {}

    @Override
    public void setMaxConnections(int maxConnections) {}

    @Override
    public void stopAccepting() {}

    @Override
    public int accepted() {
        return 0;
    }
}
