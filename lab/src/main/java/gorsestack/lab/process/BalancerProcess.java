package gorsestack.lab.process;

import gorsestack.lab.shim.Shim;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * One balancer of a run: its process, and the folder with its files. A watchdog shell starts the process and kills it when the lab ends.
 * The shell waits for the end of its own standard input, which it reaches however the lab ends, even if the lab is killed, and even while
 * the process is starting. {@link BalancerFleet} starts and signals the process on the thread that manages the processes; any thread may
 * kill the process or query it.
 */
public final class BalancerProcess {
    private static final String WATCHDOG_SCRIPT = """
            exec 3<&0 </dev/null
            /bin/sh -c "$RUN" >>"$LOG" 2>&1 3<&- & c=$!
            echo $c
            { cat <&3 >/dev/null; kill -9 $c 2>/dev/null; } & w=$!
            exec 3<&-
            wait $c; rc=$?
            kill $w 2>/dev/null
            exit $rc
            """;

    /** The prefix of the balancer's environment variables. Those in the environment of the lab itself are not passed on to the process. */
    private static final String SETTING_PREFIX = "ROUTER_";

    /** The number of the balancer, from 0. */
    public final int number;

    private final Path folder;
    private final Path root;
    private final String command;
    /** The watchdog shell of the last process; null before the first start. */
    private volatile Process watchdog;

    private volatile long pid;

    /** Creates a balancer that a shell command starts in a root folder. Its files are stored in a folder below the output folder. */
    public BalancerProcess(int number, Path root, String command, Path output) throws IOException {
        this.number = number;
        this.root = root;
        this.command = command;
        folder = output.resolve("n" + number);
        Files.createDirectories(stateFolder());
    }

    /** Returns the file with the standard output and standard error of the process. */
    public Path log() {
        return folder.resolve("log");
    }

    Path config() {
        return folder.resolve("config.json");
    }

    Path stateFolder() {
        return folder.resolve("state");
    }

    Path stateBackup() {
        return folder.resolve("state-old");
    }

    /** Starts the process. The callback receives its exit code when it ends, on a thread of the JDK. */
    void start(IntConsumer onExit) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", WATCHDOG_SCRIPT).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> key.startsWith(SETTING_PREFIX));
        environment.put("RUN", command);
        environment.put("LOG", log().toString());
        environment.put("ROUTER_CONFIG", config().toString());
        environment.put("TMPDIR", stateFolder().toString());
        Shim.createControlFile(log());
        Process started = builder.redirectError(ProcessBuilder.Redirect.appendTo(log().toFile()))
                .start();
        pid = readPid(started);
        watchdog = started;
        started.onExit().thenAccept(exited -> {
            closeStreams(exited);
            onExit.accept(exited.exitValue());
        });
    }

    private long readPid(Process started) throws IOException {
        BufferedReader output =
                new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.US_ASCII));
        String firstLine = output.readLine();
        if (firstLine == null) {
            throw new IOException("n" + number + " did not start: the watchdog shell printed no process id");
        }
        return Long.parseLong(firstLine.strip());
    }

    private static void closeStreams(Process exited) {
        try {
            exited.getOutputStream().close();
            exited.getInputStream().close();
        } catch (IOException e) {
            // The stream is already closed.
        }
    }

    /** Returns whether the process is running. */
    public boolean running() {
        return watchdog != null && watchdog.isAlive();
    }

    /** Returns the id of the last process that was started; 0 before the first start. */
    public long pid() {
        return pid;
    }

    /** Sends a signal to those processes that are running, with one shell command, so that they receive it at almost the same time. */
    static void signal(String name, List<BalancerProcess> processes) throws IOException, InterruptedException {
        List<String> pids = processes.stream()
                .filter(BalancerProcess::running)
                .map(process -> Long.toString(process.pid))
                .toList();
        if (!pids.isEmpty()) {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + String.join(" ", pids) + " 2>/dev/null")
                    .start()
                    .waitFor();
        }
    }

    /** Kills the process: closes the standard input of the watchdog shell, which then kills it. */
    void kill() {
        Process started = watchdog;
        if (started != null) {
            try {
                started.getOutputStream().close();
            } catch (IOException e) {
                // The stream is already closed.
            }
        }
    }

    /** Waits for the end of the process up to a time limit, and returns whether it has ended. */
    boolean awaitExit(long millis) throws InterruptedException {
        return watchdog == null || watchdog.waitFor(millis, TimeUnit.MILLISECONDS);
    }
}
