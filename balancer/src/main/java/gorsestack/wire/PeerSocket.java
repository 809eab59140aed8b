package gorsestack.wire;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sends and receives the messages between balancers, each in one datagram, which may be lost. Messages are received on a thread of its own,
 * "peers", and passed to the event loop; they are sent from the caller's thread. As anybody can send a datagram, only those from a peer's
 * address that are no longer than a message are accepted, and only a limited number may wait for the event loop.
 */
public final class PeerSocket implements AutoCloseable {
    /** Receives messages on the event loop's thread. */
    public interface Listener {
        /**
         * Called when a message has arrived.
         *
         * @param peer index of the sender in the list of addresses
         */
        void message(int peer, byte[] message);
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.peers");
    private static final int MAX_MESSAGE_BYTES = 256;
    /** Number of messages that may wait for the event loop; more would be out of date by the time they are handled. */
    private static final int MAX_PENDING = 64;

    private static final long RETRY_MS = 1;

    private final List<InetSocketAddress> addresses;
    /** Index of this balancer in the list of addresses. */
    private final int ownIndex;

    private final DatagramSocket socket;

    /**
     * Listens on this balancer's own address.
     *
     * @param addresses addresses of all balancers, in the same order on every balancer
     * @param ownIndex index of this balancer in that list
     */
    public PeerSocket(List<InetSocketAddress> addresses, int ownIndex, EventLoop eventLoop, Listener listener)
            throws IOException {
        this.addresses = addresses;
        this.ownIndex = ownIndex;
        socket = new DatagramSocket(null);
        // During an upgrade the previous process still has the address open; either process may receive the datagrams
        // that arrive in the meantime.
        socket.setReuseAddress(true);
        socket.bind(addresses.get(ownIndex));
        Thread thread = new Thread(() -> receive(eventLoop, listener), "peers");
        thread.setDaemon(true);
        thread.start();
    }

    private void receive(EventLoop eventLoop, Listener listener) {
        AtomicInteger pending = new AtomicInteger();
        DatagramPacket packet = new DatagramPacket(new byte[MAX_MESSAGE_BYTES + 1], MAX_MESSAGE_BYTES + 1);
        while (!socket.isClosed()) {
            try {
                packet.setLength(MAX_MESSAGE_BYTES + 1);
                socket.receive(packet);
                SocketAddress from = packet.getSocketAddress();
                int peer = addresses.indexOf(from);
                if (packet.getLength() <= MAX_MESSAGE_BYTES
                        && peer >= 0
                        && peer != ownIndex
                        && pending.get() < MAX_PENDING) {
                    byte[] message = Arrays.copyOf(packet.getData(), packet.getLength());
                    pending.incrementAndGet();
                    eventLoop.execute(() -> {
                        pending.decrementAndGet();
                        listener.message(peer, message);
                    });
                }
            } catch (IOException e) {
                // A datagram that was rejected because the peer has stopped is reported as an error here.
                LOG.log(System.Logger.Level.DEBUG, "receive_failed error=\"{0}\"", e.toString());
                waitToRetry();
            } catch (RuntimeException e) {
                // The lab counts "task failed" in the log as a fault of the program.
                LOG.log(System.Logger.Level.ERROR, "task failed, the thread continues: peers", e);
            }
        }
    }

    /** Waits a moment before the next receive. Without this, a lasting error would keep this thread busy. */
    private static void waitToRetry() {
        try {
            Thread.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a message, or drops it if there is no such peer or the message is too long. */
    public void send(int peer, byte[] message) {
        if (peer >= 0 && peer < addresses.size() && peer != ownIndex && message.length <= MAX_MESSAGE_BYTES) {
            try {
                socket.send(new DatagramPacket(message, message.length, addresses.get(peer)));
            } catch (IOException e) {
                LOG.log(System.Logger.Level.DEBUG, "message_lost peer={0} error=\"{1}\"", peer, e.toString());
            }
        }
    }

    @Override
    public void close() {
        socket.close();
    }
}
