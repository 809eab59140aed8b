package gorsestack.wire;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A network that records the connections that are opened, and leaves establishing them to the test. */
final class RecordingNetwork extends StubNetwork {
    final List<RecordingChannel> connections = new ArrayList<>();
    private final EventLoop eventLoop;

    RecordingNetwork(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        connections.add(new RecordingChannel(eventLoop, handler, address));
    }

    /** Returns the connection that was opened last. */
    RecordingChannel last() {
        return connections.get(connections.size() - 1);
    }
}
