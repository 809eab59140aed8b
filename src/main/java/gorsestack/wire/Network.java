package gorsestack.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Sockets. Every callback to a link is made on the owner's thread. */
public interface Network {

    /** Accepts connections on this address only, each with a link of its own. */
    void listen(InetSocketAddress address, Supplier<Link> links) throws IOException;

    void stopAccepting();

    /** The link hears opened or closed; what is returned gives the attempt up. */
    Runnable connect(InetSocketAddress address, Link link);
}
