package gorsestack.server;

import java.util.ArrayList;
import java.util.List;

/**
 * Registers handlers for the signals that operators send, and records which signals are ignored. A signal that the parent process
 * ignores, as under nohup or some supervisors, stays ignored in the JVM without any message. Such signals are therefore logged at the
 * start and listed in the status document. {@link BalancerServer} creates it; {@link GracefulShutdown} and {@link ConfigurationReloader}
 * register their handlers.
 *
 * <p>Threads: handlers are registered on the main thread during the start; after that, the ignored signals are read on the event loop's
 * thread. The JVM runs a handler on a new thread for each signal.
 */
final class SignalHandlers {
    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final List<String> ignored = new ArrayList<>();

    /**
     * Registers a handler.
     *
     * @param name the signal's name without the prefix SIG
     * @return whether the signal is delivered, that is, not ignored
     */
    boolean register(String name, Runnable handler) {
        sun.misc.SignalHandler previous = sun.misc.Signal.handle(new sun.misc.Signal(name), signal -> handler.run());
        boolean delivered = previous != sun.misc.SignalHandler.SIG_IGN;
        if (!delivered) {
            ignored.add("SIG" + name);
        }
        return delivered;
    }

    /** Logs a warning for each ignored signal. */
    void logIgnored() {
        ignored.forEach(name -> LOG.log(
                System.Logger.Level.WARNING,
                "{0} is ignored, as inherited from the parent process, and will not be handled",
                name));
    }

    /** Returns the names of the ignored signals, with the prefix SIG. */
    List<String> ignored() {
        return List.copyOf(ignored);
    }
}
