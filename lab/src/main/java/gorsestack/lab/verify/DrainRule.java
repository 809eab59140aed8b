package gorsestack.lab.verify;

import gorsestack.lab.verify.Records.EndpointChange;
import gorsestack.lab.verify.Records.StatusDelivery;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Checks the rule "drain": a balancer sends no attempt to an upstream that is out of service, once a grace period has passed since the
 * balancer was notified. A balancer that received no notification is deemed notified after a fixed deadline, because it has to poll by
 * then. {@link Verifier} uses this class on the thread that verifies.
 */
final class DrainRule {
    private static final String IN_SERVICE = "in_service";

    private record BalancerAndUpstream(int balancer, int upstream) {}

    private final IndexedRecords indexedRecords;
    private final Consumer<Violation> violations;
    /** The time after the notification during which attempts are permitted, in nanoseconds. */
    private final long grace;
    /** The time after which a balancer is deemed notified of a change, in nanoseconds. */
    private final long notificationDeadline;

    private final Map<Integer, List<EndpointChange>> changes = new HashMap<>();
    private final Map<BalancerAndUpstream, List<StatusDelivery>> deliveries = new HashMap<>();

    DrainRule(IndexedRecords indexedRecords, Consumer<Violation> violations) {
        this.indexedRecords = indexedRecords;
        this.violations = violations;
        grace = (long) (indexedRecords.scenario.rules().drainGrace() * 1e9) + IndexedRecords.TOLERANCE_NANOS;
        notificationDeadline = (long) (indexedRecords.scenario.rules().notificationDeadline() * 1e9);
        indexedRecords.records.endpointChanges.forEach(
                change -> changes.computeIfAbsent(change.upstream(), upstream -> new ArrayList<>())
                        .add(change));
        indexedRecords.records.statusDeliveries.forEach(delivery -> deliveries
                .computeIfAbsent(
                        new BalancerAndUpstream(delivery.balancer(), delivery.upstream()), pair -> new ArrayList<>())
                .add(delivery));
    }

    /** Reports an attempt that was sent too late after the notification, unless a fault of the link may have delayed it. */
    void check(UpstreamAttempt attempt) {
        long outSince = outOfServiceSince(attempt.upstream(), attempt.startedAt());
        if (outSince == ProcessTimelines.NEVER) {
            return;
        }
        long notifiedAt = notificationTime(attempt, outSince);
        if (attempt.startedAt() > notifiedAt + grace && !indexedRecords.attemptLinkFaulted(attempt, notifiedAt)) {
            violations.accept(new Violation(
                    Violation.DRAIN,
                    attempt.startedAt(),
                    "n" + attempt.balancer() + " sent " + attempt.id() + " to u" + attempt.upstream() + " "
                            + (attempt.startedAt() - notifiedAt) / 1_000_000
                            + " ms after it was notified, or deemed notified, that the upstream was out of service"));
        }
    }

    /** Returns when an upstream that is out of service at a time became so, or NEVER if it is in service at that time. */
    private long outOfServiceSince(int upstream, long time) {
        long outAt = ProcessTimelines.NEVER;
        long inAt = ProcessTimelines.NEVER;
        for (EndpointChange change : changes.getOrDefault(upstream, List.of())) {
            if (change.at() <= time && change.status().equals(IN_SERVICE)) {
                inAt = change.at();
            } else if (change.at() <= time && outAt <= inAt) {
                outAt = change.at();
            }
        }
        return outAt <= inAt ? ProcessTimelines.NEVER : outAt;
    }

    /** Returns when the balancer of an attempt was notified, or is deemed notified, that the upstream was out of service. */
    private long notificationTime(UpstreamAttempt attempt, long outSince) {
        int balancer = attempt.balancer();
        long processStart = indexedRecords.processes.lastStart(balancer, attempt.startedAt());
        long notifiedAt = Math.max(outSince, processStart) + notificationDeadline;
        BalancerAndUpstream pair = new BalancerAndUpstream(balancer, attempt.upstream());
        for (StatusDelivery delivery : deliveries.getOrDefault(pair, List.of())) {
            if (delivery.at() >= outSince && delivery.at() >= processStart) {
                notifiedAt = Math.min(notifiedAt, delivery.at());
            }
        }
        return indexedRecords.processes.processedAt(balancer, notifiedAt, attempt.startedAt());
    }
}
