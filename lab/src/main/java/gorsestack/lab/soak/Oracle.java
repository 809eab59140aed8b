package gorsestack.lab.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.lab.net.Addresses;
import gorsestack.lab.process.BalancerFleet;
import gorsestack.lab.process.BalancerProcess;
import gorsestack.lab.run.RunObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Checks the balancers of a soak run, in addition to the verification of records: violations that the balancers have counted themselves,
 * errors in their logs, and leaks of descriptors, threads and memory. {@link Soak} creates one instance for each run.
 */
final class Oracle implements RunObserver {
    /** Matches lines of a balancer's log that report an error of the program itself. */
    private static final Pattern ERROR_LINE = Pattern.compile(
            "violation rule=|task failed|left unanswered|Exception in thread|OutOfMemory|java\\.lang\\.\\w*Error");

    private static final String VIOLATION_COUNTER = "violations.";
    private static final int MAX_LINES_PER_LOG = 5;
    /** Growth since the start of the run above which a resource counts as leaked. */
    private static final int MAX_DESCRIPTOR_GROWTH = 40;

    private static final int MAX_THREAD_GROWTH = 4;
    private static final int MAX_RESIDENT_GROWTH_KB = 24 << 10;
    private static final int STATUS_TIMEOUT_MS = 2_000;

    /** The resources of the operating system that a process uses. */
    private record ResourceUsage(long pid, int descriptors, int threads, int residentKb) {}

    private final Map<Integer, ResourceUsage> baselines = new HashMap<>();
    private final List<String> findings = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private Addresses addresses;

    /** Returns the detected errors, one line each. */
    List<String> findings() {
        return findings;
    }

    /** Returns the sums of the counters of all balancers, by name. */
    Map<String, Long> counters() {
        return counters;
    }

    @Override
    public void fleetReady(Addresses runAddresses, BalancerFleet fleet) {
        addresses = runAddresses;
        fleet.balancers.forEach(balancer -> baselines.put(balancer.number, resourceUsage(balancer.pid())));
    }

    @Override
    public void beforeStop(BalancerFleet fleet) {
        for (BalancerProcess balancer : fleet.balancers) {
            checkResources(balancer);
            checkStatus(balancer);
        }
    }

    /** Compares the resource usage with the baseline, unless the process was restarted since. */
    private void checkResources(BalancerProcess balancer) {
        ResourceUsage baseline = baselines.get(balancer.number);
        ResourceUsage current = resourceUsage(balancer.pid());
        if (baseline == null || current == null || baseline.pid != current.pid) {
            return;
        }
        checkGrowth(balancer, "descriptors", baseline.descriptors, current.descriptors, MAX_DESCRIPTOR_GROWTH);
        checkGrowth(balancer, "threads", baseline.threads, current.threads, MAX_THREAD_GROWTH);
        checkGrowth(balancer, "KB resident", baseline.residentKb, current.residentKb, MAX_RESIDENT_GROWTH_KB);
    }

    private void checkGrowth(BalancerProcess balancer, String resource, int baseline, int current, int maxGrowth) {
        if (current > baseline + maxGrowth) {
            findings.add("n" + balancer.number + " holds " + current + " " + resource + ", " + baseline
                    + " before the disturbances");
        }
    }

    /** Returns the resource usage of a process, or null if the process has ended. */
    private static ResourceUsage resourceUsage(long pid) {
        Path proc = Path.of("/proc", Long.toString(pid));
        try (Stream<Path> descriptors = Files.list(proc.resolve("fd"));
                Stream<Path> threads = Files.list(proc.resolve("task"))) {
            int residentKb = Files.readAllLines(proc.resolve("status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .mapToInt(line -> Integer.parseInt(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
            return new ResourceUsage(pid, (int) descriptors.count(), (int) threads.count(), residentKb);
        } catch (IOException e) {
            return null;
        }
    }

    private void checkStatus(BalancerProcess balancer) {
        try {
            JsonNode status = fetchStatus(addresses.management(balancer.number));
            status.path("invariants").fields().forEachRemaining(counter -> {
                String name = counter.getKey();
                long value = counter.getValue().asLong();
                counters.merge(name, value, Long::sum);
                if (name.startsWith(VIOLATION_COUNTER) && value > 0) {
                    findings.add("n" + balancer.number + " counts " + value + " " + name);
                }
            });
        } catch (IOException e) {
            findings.add("n" + balancer.number + " did not report its status: " + e);
        }
    }

    private static JsonNode fetchStatus(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, STATUS_TIMEOUT_MS);
            socket.setSoTimeout(STATUS_TIMEOUT_MS);
            socket.getOutputStream()
                    .write("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return new ObjectMapper().readTree(response.substring(response.indexOf("\r\n\r\n") + 4));
        }
    }

    /** Checks the logs of all balancers in the folder of a run. */
    void checkLogs(Path runFolder) throws IOException {
        try (Stream<Path> files = Files.walk(runFolder, 2)) {
            List<Path> logs = files.filter(file -> file.getFileName().toString().equals("log"))
                    .sorted()
                    .toList();
            for (Path log : logs) {
                Files.readAllLines(log, StandardCharsets.ISO_8859_1).stream()
                        .filter(line -> ERROR_LINE.matcher(line).find())
                        .limit(MAX_LINES_PER_LOG)
                        .forEach(line -> findings.add(log.getParent().getFileName() + " logs: " + line));
            }
        }
    }
}
