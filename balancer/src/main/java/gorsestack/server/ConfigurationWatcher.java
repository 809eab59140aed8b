package gorsestack.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Polls the configuration file for changed content, for {@link ConfigurationReloader} when SIGHUP is ignored.
 *
 * <p>Threads: after {@link #start}, everything runs on a separate daemon thread; only that thread accesses the last content.
 */
final class ConfigurationWatcher {
    /**
     * The poll interval in milliseconds. A new configuration has to be in effect 4 s after it is written, which includes the reload, the
     * change of address and a response.
     */
    static final long INTERVAL_MILLIS = 500;

    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final Path file;
    private final Runnable onChange;
    private byte[] lastContent;

    /** @param lastContent the content of the file that is already in effect */
    ConfigurationWatcher(Path file, byte[] lastContent, Runnable onChange) {
        this.file = file;
        this.lastContent = lastContent;
        this.onChange = onChange;
    }

    /** Starts polling. */
    void start() {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "file-watch");
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(this::poll, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Checks the file once. Throws no exception, as the executor cancels a periodic task at its first exception. */
    private void poll() {
        try {
            byte[] content = Files.readAllBytes(file);
            if (!Arrays.equals(content, lastContent)) {
                lastContent = content;
                onChange.run();
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(System.Logger.Level.DEBUG, "configuration_watch_failed file={0} error={1}", file, e.toString());
        }
    }
}
