package gorsestack.server;

import gorsestack.proxy.CallDispatcher;
import gorsestack.wire.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reloads the configuration at SIGHUP, or when the file changes if SIGHUP is ignored. A reload reads the file again and moves the watch on
 * endpoints to the discovery address in it. No other key takes effect before the next start.
 *
 * <p>Threads: {@link BalancerServer} sets it up on the main thread. {@link #reload} runs on the signal's thread or on that of
 * {@link ConfigurationWatcher}, one at a time; the dispatcher is called on the event loop's thread only.
 */
final class ConfigurationReloader {
    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final Path file;
    private final EventLoop eventLoop;
    private final StartGate gate;
    private boolean sighupHandled;
    /** The content of the file at the start; null if SIGHUP is handled or the file is no regular one, so that it is not watched. */
    private byte[] contentAtStart;

    private Configuration configuration;
    private CallDispatcher calls;

    /** @param gate the gate that is opened after {@link #setDispatcher} has been called */
    ConfigurationReloader(Path file, EventLoop eventLoop, StartGate gate) {
        this.file = file;
        this.eventLoop = eventLoop;
        this.gate = gate;
    }

    /** Registers a handler for SIGHUP, whose default action ends the JVM. A signal during the start is handled once the gate is open. */
    void handleSignal(SignalHandlers signals) {
        sighupHandled = signals.register("HUP", this::reloadWhenStarted);
    }

    /** Reads the configuration for the start. */
    Configuration readInitial() throws IOException {
        // The content is read before the configuration, so that a change in between is detected.
        contentAtStart = !sighupHandled && Files.isRegularFile(file) ? Files.readAllBytes(file) : null;
        configuration = Configuration.read(file, System.getenv());
        return configuration;
    }

    /** Watches the file for changes if SIGHUP is ignored, as it could not be reloaded otherwise. */
    void watchFileIfSignalIgnored() {
        if (contentAtStart == null) {
            return;
        }
        LOG.log(
                System.Logger.Level.WARNING,
                "configuration_watch file={0} interval_ms={1} reason=sighup_ignored",
                file,
                ConfigurationWatcher.INTERVAL_MILLIS);
        new ConfigurationWatcher(file, contentAtStart, this::reloadWhenStarted).start();
    }

    /** Sets the dispatcher whose watch a reload moves. Must be called before the gate is opened. */
    void setDispatcher(CallDispatcher dispatcher) {
        calls = dispatcher;
    }

    private void reloadWhenStarted() {
        if (gate.await()) {
            reload();
        }
    }

    /**
     * Reads the file again and moves the watch. An invalid file changes nothing. Reloads run one at a time, so that of two concurrent
     * ones, the later content of the file takes effect.
     */
    private synchronized void reload() {
        try {
            Configuration reloaded = Configuration.reread(file, System.getenv());
            eventLoop.execute(() -> calls.moveToDiscovery(reloaded.discovery()));
            LOG.log(
                    System.Logger.Level.INFO,
                    "configuration reloaded; discovery is {0}{1}",
                    reloaded.discovery(),
                    configuration.differsOnlyInDiscovery(reloaded)
                            ? ""
                            : "; the other changes take effect at the next start");
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "configuration rejected, the previous one stays in effect: {0}",
                    String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }
}
