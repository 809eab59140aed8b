package gorsestack.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Sockets. Every callback to a link is made on the owner's thread. */
public interface Network {

    /** Accepts connections on this address only, each with a link of its own. */
    void listen(InetSocketAddress address, Supplier<Link> links) throws IOException;

    /** Beside that a few connections, on an address and with a bound of their own. */
    void listenApart(InetSocketAddress address, int most, Supplier<Link> links) throws IOException;

    /** How many of the first kind may be open. */
    void bound(int most);

    /** Takes in what has connected by now, and closes the listener of the first kind. */
    void stopAccepting();

    /** The link hears opened or closed; what is returned gives the attempt up. */
    Runnable connect(InetSocketAddress address, Link link);
}
