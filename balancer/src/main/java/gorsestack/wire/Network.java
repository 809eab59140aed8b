package gorsestack.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens and accepts connections. Every callback to a handler is made on the event loop's thread. */
public interface Network {

    /** Accepts client connections on this address, each with a handler of its own. */
    void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers) throws IOException;

    /** Accepts connections on another address too, with a limit of its own; they do not count as client connections. */
    void listenSeparately(InetSocketAddress address, int maxConnections, Supplier<ConnectionHandler> handlers)
            throws IOException;

    /** Sets how many client connections may be open. */
    void setMaxConnections(int maxConnections);

    /** Accepts the connections that wait in the backlog, then closes the listener for clients; it is not opened again. */
    void stopAccepting();

    /** Returns the number of client connections whose sockets are open, including those whose handler has not been notified yet. */
    int accepted();

    /**
     * Opens a connection. Either the handler's opened method or its closed or connectFailedLocally method is called, at the latest when the
     * limit {@code UpstreamLimits.maxConnectNanos} has passed. A connect cannot be cancelled; a handler that no longer needs the connection
     * closes it as it opens. MINA counts a connect twice that is cancelled as it completes, and delays all later ones.
     */
    void connect(InetSocketAddress address, ConnectionHandler handler);
}
