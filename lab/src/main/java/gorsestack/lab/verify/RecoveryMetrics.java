package gorsestack.lab.verify;

import gorsestack.lab.scenario.Period;
import gorsestack.lab.verify.Records.InjectedFault;
import gorsestack.lab.verify.Records.ProcessEvent;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** Computes for {@link RunMetrics} how fast a fleet recovered from the first measured fault. */
final class RecoveryMetrics {
    private static final long SECOND = RunMetrics.SECOND;
    /** The length of the interval before the fault whose served fraction is the reference, in nanoseconds. */
    private static final long REFERENCE_NANOS = 10 * SECOND;

    private static final long SEARCH_STEP_NANOS = SECOND / 10;
    /** The number of consecutive seconds that must reach the required served fraction. */
    private static final int FULL_SERVICE_WINDOWS = 5;
    /** The required served fraction, relative to the reference. */
    private static final double FULL_SERVICE_FRACTION = 0.99;

    private final Records records;
    private final List<Call> calls;
    private final RunPeriods periods;
    private final long faultAt;
    /** The intended times of all calls, in ascending order. */
    private final long[] times;
    /** For each index, the number of served calls before it. */
    private final int[] servedBefore;

    /** For each index, the number of calls before it that count. */
    private final int[] countedBefore;

    RecoveryMetrics(Records records, List<Call> calls, RunPeriods periods) {
        this.records = records;
        this.calls = calls;
        this.periods = periods;
        faultAt = periods.faultAt();
        times = calls.stream().mapToLong(Call::intended).toArray();
        servedBefore = new int[times.length + 1];
        countedBefore = new int[times.length + 1];
        for (int i = 0; i < times.length; i++) {
            servedBefore[i + 1] = servedBefore[i] + (calls.get(i).served() ? 1 : 0);
            countedBefore[i + 1] = countedBefore[i] + (calls.get(i).counts() ? 1 : 0);
        }
    }

    private double servedFraction(LongPredicate intended) {
        return Calls.servedFraction(
                calls.stream().filter(call -> intended.test(call.intended())).toList());
    }

    /** Returns the served fraction of the ten seconds before the fault, which recovery is compared with. */
    private double reference() {
        return Calls.servedFraction(calls.stream()
                .filter(call -> periods.includes(Period.BEFORE, call) && call.intended() >= faultAt - REFERENCE_NANOS)
                .toList());
    }

    /**
     * Returns the seconds from the first measured fault until full service: the first time from which five consecutive one-second windows
     * each reach at least 0.99 of the served fraction before the fault. The search advances in steps of 0.1 s.
     */
    double timeToFullService() {
        if (records.injectedFaults.stream().noneMatch(InjectedFault::measured)) {
            return 0;
        }
        double required = FULL_SERVICE_FRACTION * reference();
        for (long start = faultAt; start + FULL_SERVICE_WINDOWS * SECOND <= periods.end(); start += SEARCH_STEP_NANOS) {
            if (fullServiceFrom(start, required)) {
                return (start - faultAt) / 1e9;
            }
        }
        return RunMetrics.NEVER;
    }

    private boolean fullServiceFrom(long start, double required) {
        for (int window = 0; window < FULL_SERVICE_WINDOWS; window++) {
            if (servedFractionOfSecond(start + window * SECOND) < required) {
                return false;
            }
        }
        return true;
    }

    private double servedFractionOfSecond(long from) {
        int first = firstCallFrom(from);
        int last = firstCallFrom(from + SECOND);
        int counted = countedBefore[last] - countedBefore[first];
        return counted == 0 ? 0 : (servedBefore[last] - servedBefore[first]) / (double) counted;
    }

    /** Returns the index of the first call whose intended time is not before a time. */
    private int firstCallFrom(long time) {
        int found = Arrays.binarySearch(times, time);
        if (found < 0) {
            return -found - 1;
        }
        while (found > 0 && times[found - 1] == time) {
            found--;
        }
        return found;
    }

    /**
     * Returns the ratio of the served fraction from 10 to 20 seconds after the fault to that of the 10 seconds before it. It suits fleets
     * that reject calls even before the fault, where the served fractions of single seconds vary by chance.
     */
    double regainedFraction() {
        double before = reference();
        long from = faultAt + REFERENCE_NANOS;
        return before == 0
                ? 0
                : servedFraction(intended -> intended >= from && intended < from + REFERENCE_NANOS) / before;
    }

    /** Returns the seconds from when a process last became ready after the fault until full service; 0 if service was full before. */
    double timeToFullServiceAfterStart() {
        long lastReady = records.processEvents.stream()
                .filter(event -> event.event().equals("ready") && event.at() >= faultAt)
                .mapToLong(ProcessEvent::at)
                .max()
                .orElse(faultAt);
        return Math.max(0, timeToFullService() - Math.max(0, lastReady - faultAt) / 1e9);
    }

    /** Returns the longest time that a process started after the fault took to become ready, in seconds; NEVER if one did not. */
    double longestStart() {
        Map<Integer, Long> starting = new HashMap<>();
        double longest = 0;
        for (ProcessEvent event : records.processEvents.stream()
                .sorted(Comparator.comparingLong(ProcessEvent::at))
                .toList()) {
            if (event.at() >= faultAt && event.event().equals("start")) {
                starting.put(event.balancer(), event.at());
            } else if (event.event().equals("ready") && starting.containsKey(event.balancer())) {
                longest = Math.max(longest, (event.at() - starting.remove(event.balancer())) / 1e9);
            } else if (event.event().equals("kill") || event.event().startsWith("exit")) {
                starting.remove(event.balancer());
            }
        }
        return starting.isEmpty() ? longest : RunMetrics.NEVER;
    }
}
