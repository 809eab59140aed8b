package gorsestack.wire;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.List;

/**
 * Classifies socket errors: whether they come from this machine or from the peer, and whether they are transient. The JDK gives the
 * system's error number only as the text of an exception. Stateless; used on the sockets' threads.
 */
final class SocketErrors {
    /** Texts of ENOBUFS, ENOMEM, EAGAIN and EINTR: the connection is intact, and the same call may succeed a moment later. */
    private static final List<String> TRANSIENT = List.of(
            "No buffer space available",
            "Cannot allocate memory",
            "Resource temporarily unavailable",
            "Interrupted system call");
    /**
     * Texts of EMFILE, ENFILE, ENETUNREACH, ENETDOWN, EPERM and EADDRNOTAVAIL: as with the errors above, no packet has left this machine.
     */
    private static final List<String> LOCAL = List.of(
            "Too many open files",
            "Network is unreachable",
            "Network is down",
            "Operation not permitted",
            "Cannot assign requested address");

    private SocketErrors() {}

    /** Returns whether a read or write that failed with this error may be retried on the same connection. */
    static boolean isTransient(IOException failure) {
        return startsWithAny(failure, TRANSIENT);
    }

    /** Returns whether a connect failed on this machine, so that its error does not show anything about the peer. */
    static boolean isLocal(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException || startsWithAny(cause, LOCAL) || startsWithAny(cause, TRANSIENT)) {
                return true;
            }
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return false;
            }
        }
        return false;
    }

    private static boolean startsWithAny(Throwable failure, List<String> prefixes) {
        String message = failure.getMessage();
        return message != null && prefixes.stream().anyMatch(message::startsWith);
    }
}
