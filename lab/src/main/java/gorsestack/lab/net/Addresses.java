package gorsestack.lab.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Assigns the loopback addresses of one run to balancers, upstreams, discovery and relays. Each lab reserves a 127.N.0.0/16 network with a
 * file lock. The operating system releases the lock when the process ends, so that concurrent labs, or a lab started right after another
 * one was killed, never share addresses. Each balancer uses a separate address for every party that it reaches, so that the address
 * identifies the link. Immutable, and safe for use by any thread.
 */
public final class Addresses implements AutoCloseable {
    private static final int FIRST_NETWORK = 64;
    private static final int LAST_NETWORK = 223;

    private static final int BALANCER_SUBNET = 250;
    private static final int RELAY_HOST = 253;
    private static final int DISCOVERY_HOST = 254;

    private static final int CLIENT_PORT = 7000;
    private static final int MANAGEMENT_PORT = 7001;
    private static final int DATAGRAM_PORT = 7002;
    private static final int UPSTREAM_PORT = 8000;
    private static final int DISCOVERY_PORT = 8500;
    private static final int RELAY_PORT = 9000;

    private final int network;
    private final FileChannel lockFile;

    private Addresses(int network, FileChannel lockFile) {
        this.network = network;
        this.lockFile = lockFile;
    }

    /**
     * Reserves a free network until the returned object is closed. All labs of a machine have to use the same folder for their lock files.
     */
    public static Addresses reserve(Path lockFolder) throws IOException {
        for (int network = FIRST_NETWORK; network <= LAST_NETWORK; network++) {
            FileChannel lockFile = FileChannel.open(
                    lockFolder.resolve("gorsestack-lab-" + network + ".lock"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
            if (tryLock(lockFile) != null) {
                return new Addresses(network, lockFile);
            }
            lockFile.close();
        }
        throw new IOException("cannot reserve a loopback network: other labs hold the locks of 127." + FIRST_NETWORK
                + ".0.0/16 to 127." + LAST_NETWORK + ".0.0/16");
    }

    private static FileLock tryLock(FileChannel lockFile) throws IOException {
        try {
            return lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // Another run in this process holds the lock.
        }
    }

    private InetSocketAddress address(int subnet, int host, int port) {
        return new InetSocketAddress("127." + network + "." + subnet + "." + host, port);
    }

    /** Returns the address at which a balancer listens for client connections. */
    public InetSocketAddress balancer(int balancer) {
        return address(BALANCER_SUBNET, balancer + 1, CLIENT_PORT);
    }

    /** Returns the address at which a balancer serves its management endpoints. */
    public InetSocketAddress management(int balancer) {
        return address(BALANCER_SUBNET, balancer + 1, MANAGEMENT_PORT);
    }

    /** Returns the address at which a balancer receives datagrams from its peers. */
    public InetSocketAddress datagrams(int balancer) {
        return address(BALANCER_SUBNET, balancer + 1, DATAGRAM_PORT);
    }

    /** Returns the address at which a balancer reaches an upstream. */
    public InetSocketAddress upstream(int balancer, int upstream) {
        return address(balancer + 1, upstream + 1, UPSTREAM_PORT);
    }

    /** Returns the address at which a balancer reaches discovery. The generation is the number of times that discovery has moved. */
    public InetSocketAddress discovery(int balancer, int generation) {
        return address(balancer + 1, DISCOVERY_HOST, DISCOVERY_PORT + generation);
    }

    /**
     * Returns the address to which the first balancer sends its datagrams for the second one. It is also the source address of the
     * datagrams that the first balancer receives from the second one.
     */
    public InetSocketAddress relay(int sender, int receiver) {
        return address(sender + 1, RELAY_HOST, RELAY_PORT + receiver);
    }

    /** Returns an address in the form that configuration files use, host:port. */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Releases the network for other labs. */
    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
