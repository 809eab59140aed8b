package gorsestack.wire;

import gorsestack.serve.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Opens the service's own two kinds of connection. */
public final class Ports {
    private final Network network;
    private final Limits limits;

    public Ports(Network network, Limits limits) {
        this.network = network;
        this.limits = limits;
    }

    public void listen(InetSocketAddress address, ClientConnection.Intake intake) throws IOException {
        network.listen(address, () -> new ClientConnection(limits, intake));
    }

    public UpstreamConnection open(String upstream, InetSocketAddress address, UpstreamConnection.Keeper keeper) {
        UpstreamConnection connection = new UpstreamConnection(limits, keeper, upstream, address);
        connection.connect(network);
        return connection;
    }
}
