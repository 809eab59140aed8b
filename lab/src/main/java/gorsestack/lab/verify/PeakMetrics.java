package gorsestack.lab.verify;

import gorsestack.lab.scenario.Period;
import gorsestack.lab.verify.Records.ConnectionOpened;
import gorsestack.lab.verify.Records.ListCall;
import gorsestack.lab.verify.Records.SecondSample;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.stream.Stream;

/** Computes the highest rates of a run, and their ratio to the highest rates before the fault, for {@link RunMetrics}. */
final class PeakMetrics {
    private static final long SECOND = RunMetrics.SECOND;

    private record BalancerAndUpstream(int balancer, int upstream) {}

    private final Records records;
    private final RunPeriods periods;

    PeakMetrics(Records records, RunPeriods periods) {
        this.records = records;
        this.periods = periods;
    }

    /**
     * Returns the largest number of events from {@code from} and before {@code until} within any interval of one second; the times must be
     * sorted.
     */
    static double peak(long[] times, long from, long until) {
        int peak = 0;
        int first = 0;
        for (int i = 0; i < times.length; i++) {
            if (times[i] < from || times[i] >= until) {
                continue;
            }
            while (times[first] < from || times[first] <= times[i] - SECOND) {
                first++;
            }
            peak = Math.max(peak, i - first + 1);
        }
        return peak;
    }

    private double peak(long[] times, Period period) {
        return peak(times, periods.from(period), periods.until(period));
    }

    /** Returns the ratio of the peak from the fault until the end of the run to the peak before the fault, which counts as at least 1. */
    private double peakOverSteady(long[] times) {
        return peak(times, periods.faultAt(), periods.end()) / Math.max(1, peak(times, 0, periods.faultAt()));
    }

    double listCalls(Period period) {
        return peak(listCallTimes(), period);
    }

    double listCallsOverSteady() {
        return peakOverSteady(listCallTimes());
    }

    private long[] listCallTimes() {
        return records.listCalls.stream().mapToLong(ListCall::at).sorted().toArray();
    }

    double connections(Period period) {
        return mostOpened(end -> end > periods.from(period) && end <= periods.until(period));
    }

    double connectionsOverSteady() {
        return mostOpened(end -> end > periods.faultAt()) / Math.max(1, mostOpened(end -> end <= periods.faultAt()));
    }

    /** Returns the largest number of connections opened in a sampled second, among the seconds whose ends match. */
    private double mostOpened(LongPredicate secondEnd) {
        return records.secondSamples.stream()
                .filter(sample -> secondEnd.test((sample.second() + 1) * SECOND))
                .mapToInt(SecondSample::opened)
                .max()
                .orElse(0);
    }

    double furtherConnections(Period period) {
        return peak(furtherConnectionTimes(), period);
    }

    double furtherConnectionsOverSteady() {
        return peakOverSteady(furtherConnectionTimes());
    }

    /**
     * Returns when connections were opened that are not the first one between their balancer and upstream since the balancer started or the
     * upstream's status last changed. The first one is excluded because it is inevitable after such an event.
     */
    private long[] furtherConnectionTimes() {
        Map<Integer, List<Long>> balancerStarts = new HashMap<>();
        records.processEvents.stream()
                .filter(event -> event.event().equals("start"))
                .forEach(event -> balancerStarts
                        .computeIfAbsent(event.balancer(), balancer -> new ArrayList<>())
                        .add(event.at()));
        Map<Integer, List<Long>> upstreamChanges = new HashMap<>();
        records.endpointChanges.forEach(change -> upstreamChanges
                .computeIfAbsent(change.upstream(), upstream -> new ArrayList<>())
                .add(change.at()));
        Map<BalancerAndUpstream, Long> lastOpened = new HashMap<>();
        return records.connectionsOpened.stream()
                .sorted(Comparator.comparingLong(ConnectionOpened::at))
                .filter(opened -> {
                    Long previous =
                            lastOpened.put(new BalancerAndUpstream(opened.balancer(), opened.upstream()), opened.at());
                    return previous != null
                            && Stream.of(balancerStarts.get(opened.balancer()), upstreamChanges.get(opened.upstream()))
                                    .filter(Objects::nonNull)
                                    .flatMap(List::stream)
                                    .noneMatch(start -> start > previous && start <= opened.at());
                })
                .mapToLong(ConnectionOpened::at)
                .toArray();
    }

    /**
     * Returns the ratio of the highest rate of attempts at a single upstream, from the fault until the end of the run, to the highest one
     * before the fault, which counts as at least 1.
     */
    double attemptsOverSteady() {
        Map<Integer, List<Long>> timesByUpstream = new TreeMap<>();
        records.upstreamAttempts.forEach(attempt -> timesByUpstream
                .computeIfAbsent(attempt.upstream(), upstream -> new ArrayList<>())
                .add(attempt.startedAt()));
        double before = 1;
        double after = 0;
        for (List<Long> startTimes : timesByUpstream.values()) {
            long[] times =
                    startTimes.stream().mapToLong(Long::longValue).sorted().toArray();
            before = Math.max(before, peak(times, 0, periods.faultAt()));
            after = Math.max(after, peak(times, periods.faultAt(), periods.end()));
        }
        return after / before;
    }
}
