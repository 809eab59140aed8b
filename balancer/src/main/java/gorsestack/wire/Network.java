package gorsestack.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Sockets. Every callback to a handler is made on the event loop's thread. */
public interface Network {

    /** Accepts connections on this address only, each with a handler of its own. */
    void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers) throws IOException;

    /** Beside that a few connections, on an address and with a bound of their own. */
    void listenApart(InetSocketAddress address, int most, Supplier<ConnectionHandler> handlers) throws IOException;

    /** How many of the first kind may be open. */
    void bound(int most);

    /** Takes in what has connected by now, and closes the listener of the first kind; none is opened after it. */
    void stopAccepting();

    /** Accepted connections of the first kind whose sockets are open, those too of which no handler has heard yet. */
    int accepted();

    /**
     * The handler hears opened or closed, within connectBound. It cannot be called off: who does not want it any more closes it as it
     * opens. Danger: the library counts a connect twice that is called off as it comes up, and lets the next ones wait for good.
     */
    void connect(InetSocketAddress address, ConnectionHandler handler);
}
