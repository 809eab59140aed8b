package gorsestack.lab.verify;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The complete records of a run, indexed for the rule checks of {@link Verifier}; the records must not change afterwards. */
final class IndexedRecords {
    /** The tolerance of all time limits in nanoseconds, which covers the delays of sockets. */
    static final long TOLERANCE_NANOS = 50_000_000L;
    /** How long a link fault may have effects after its end, in nanoseconds, as delayed bytes are delivered and retransmitted. */
    static final long LINK_RECOVERY_NANOS = 5_000_000_000L;

    final Scenario scenario;
    final Records records;
    final ProcessTimelines processes;
    private final Map<String, Product> products = new HashMap<>();
    private final Map<String, List<UpstreamAttempt>> attempts = new HashMap<>();

    IndexedRecords(Scenario scenario, Records records) {
        this.scenario = scenario;
        this.records = records;
        processes = new ProcessTimelines(records.processEvents);
        scenario.products().forEach(product -> products.put(product.name(), product));
        records.upstreamAttempts.forEach(attempt ->
                attempts.computeIfAbsent(attempt.id(), id -> new ArrayList<>()).add(attempt));
        attempts.values().forEach(list -> list.sort(Comparator.comparingLong(UpstreamAttempt::startedAt)));
    }

    Product product(String name) {
        return products.get(name);
    }

    /** Returns the attempts for the request with an id, ordered by their start. */
    List<UpstreamAttempt> attempts(String id) {
        return attempts.getOrDefault(id, List.of());
    }

    /** Returns the attempts of all requests, one list per request. */
    Collection<List<UpstreamAttempt>> attemptsByRequest() {
        return attempts.values();
    }

    /** Returns whether a link was affected by a fault, or was still recovering from one, at any time in an interval. */
    boolean linkFaulted(String link, long from, long until) {
        return records.injectedFaults.stream()
                .anyMatch(fault -> fault.targets().contains(link)
                        && fault.from() <= until
                        && fault.until() + LINK_RECOVERY_NANOS >= from);
    }

    /** Returns whether a fault affected the link of an attempt since a time, so that its start may have been observed late. */
    boolean attemptLinkFaulted(UpstreamAttempt attempt, long from) {
        return linkFaulted("n" + attempt.balancer() + ">u" + attempt.upstream(), from, attempt.startedAt());
    }
}
