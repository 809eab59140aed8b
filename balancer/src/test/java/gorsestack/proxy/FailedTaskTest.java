package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.settings.Limits;
import gorsestack.wire.Channel;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.MinaNetwork;
import gorsestack.wire.Request;
import gorsestack.wire.StubRequestHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a fault of this program while it handles an event. Guards against a client that waits for good for a call that the fault has lost. */
class FailedTaskTest {
    private final EventLoopThread eventLoop = new EventLoopThread();
    private Limits limits;
    private MinaNetwork network;
    private InetSocketAddress address;

    @BeforeEach
    void reserveAddress() throws IOException {
        ObjectMapper json = new ObjectMapper();
        limits = Limits.of(json.readTree("{\"sockets\":1024}"), json.readTree("{}"));
        network = new MinaNetwork(limits, eventLoop);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    @AfterEach
    void stop() throws Exception {
        network.stopAccepting();
        new MinaInternals(network).dispose();
    }

    /** Fails at each call; whatever else happens is ignored. */
    private final class FailingRequestHandler extends StubRequestHandler {
        private final AtomicInteger disconnected = new AtomicInteger();

        FailingRequestHandler() {
            super(limits);
        }

        @Override
        public void call(ClientConnection from, Request request, long arrivedAt) {
            throw new IllegalStateException("planted fault");
        }

        @Override
        public void clientDisconnected(ClientConnection from) {
            disconnected.incrementAndGet();
        }
    }

    /** A handler that fails at its first input. */
    private static final class FailingConnection implements ConnectionHandler {
        @Override
        public void opened(Channel channel) {}

        @Override
        public void received(byte[] bytes, long readAt) {
            throw new IllegalStateException("planted fault");
        }

        @Override
        public void sent() {}

        @Override
        public void closed() {}
    }

    private String exchange(Supplier<ConnectionHandler> handlers, String text) throws IOException {
        network.listen(address, handlers);
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
            SocketStreams.send(client, text);
            return SocketStreams.readToEnd(client);
        }
    }

    @Test
    void respondsToACallThatFails() throws IOException {
        FailingRequestHandler handler = new FailingRequestHandler();
        String received = exchange(() -> new ClientConnection(limits, eventLoop, handler), request("read", "c1"));
        assertTrue(received.startsWith("HTTP/1.1 502 "), received);
        assertTrue(received.endsWith("internal error\n"), received);
        assertEquals(1, handler.disconnected.get(), "its attempts are cancelled");
    }

    @Test
    void closesAConnectionWhoseHandlerFails() throws IOException {
        assertEquals("", exchange(FailingConnection::new, "x"));
    }
}
