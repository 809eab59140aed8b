package gorsestack.lab.verify;

import gorsestack.lab.scenario.Period;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.verify.Records.InjectedFault;
import java.util.List;

/**
 * The boundaries of the periods of a run, used by the classes that compute metrics.
 *
 * @param faultAt the time of the first measured fault in nanoseconds, or the end of the run if it has none
 * @param end the end of the run in nanoseconds
 */
record RunPeriods(long faultAt, long end) {
    private static final long AFTER_FAULT_NANOS = 30 * RunMetrics.SECOND;
    private static final long END_PERIOD_NANOS = 10 * RunMetrics.SECOND;

    static RunPeriods of(Scenario scenario, List<InjectedFault> faults) {
        long end = (long) (scenario.seconds() * 1e9);
        long faultAt = faults.stream()
                .filter(InjectedFault::measured)
                .mapToLong(InjectedFault::from)
                .min()
                .orElse(end);
        return new RunPeriods(faultAt, end);
    }

    long from(Period period) {
        return switch (period) {
            case AFTER -> faultAt;
            case END -> end - END_PERIOD_NANOS;
            default -> 0;
        };
    }

    long until(Period period) {
        return switch (period) {
            case BEFORE -> faultAt;
            case AFTER -> faultAt + AFTER_FAULT_NANOS;
            default -> end;
        };
    }

    boolean includes(Period period, long time) {
        return time >= from(period) && time < until(period);
    }

    /** Returns whether a call belongs to a period. A call in progress at the time of the fault does not belong to the period before it. */
    boolean includes(Period period, Call call) {
        return switch (period) {
            case ALL -> true;
            case BEFORE -> call.ended() < faultAt;
            case AFTER -> includes(period, call.intended());
            case END -> call.intended() >= from(period);
        };
    }
}
