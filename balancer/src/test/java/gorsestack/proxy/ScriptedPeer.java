package gorsestack.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** An upstream or discovery on a loopback port, whose connections the test accepts and serves. */
final class ScriptedPeer implements AutoCloseable {
    private static final int BACKLOG = 50;

    final ServerSocket listener;
    final List<Socket> accepted = new ArrayList<>();

    ScriptedPeer() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
        listener.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Accepts the next connection. */
    Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
        accepted.add(socket);
        return socket;
    }

    /** Accepts a connection, or returns null if none arrives within {@code millis} milliseconds. */
    Socket acceptWithin(int millis) throws IOException {
        listener.setSoTimeout(millis);
        try {
            return accept();
        } catch (SocketTimeoutException e) {
            return null;
        } finally {
            listener.setSoTimeout(SocketRig.TIMEOUT_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : accepted) {
            socket.close();
        }
        listener.close();
    }
}
