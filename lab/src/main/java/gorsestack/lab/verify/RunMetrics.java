package gorsestack.lab.verify;

import gorsestack.lab.scenario.Period;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.verify.Call.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Computes the metrics of a run from its records, by the names that scenarios and results use. Invariants, results and charts are based on
 * them.
 */
public final class RunMetrics {
    /** The number of nanoseconds in a second. */
    public static final long SECOND = 1_000_000_000L;
    /** The value of a recovery time, in seconds, if the recovery did not happen within the run. */
    public static final double NEVER = 999;

    private final Scenario scenario;
    private final Records records;
    private final int lostCalls;
    private final RunPeriods periods;
    private final List<Call> calls;
    private final RecoveryMetrics recovery;
    private final PeakMetrics peaks;
    private final Map<String, ToDoubleFunction<Period>> metrics = new HashMap<>();

    /** Prepares the metrics of a run; the number of lost calls is taken from its verification. */
    public RunMetrics(Scenario scenario, Records records, int lostCalls) {
        this.scenario = scenario;
        this.records = records;
        this.lostCalls = lostCalls;
        periods = RunPeriods.of(scenario, records.injectedFaults);
        calls = Calls.of(scenario, records);
        recovery = new RecoveryMetrics(records, calls, periods);
        peaks = new PeakMetrics(records, periods);
        registerCallMetrics();
        registerRecoveryMetrics();
        registerPeakMetrics();
        registerProcessMetrics();
    }

    private void registerCallMetrics() {
        ofCalls("served", Calls::servedFraction);
        ofCalls("served_worst_second", callsInPeriod -> Calls.worstServedFraction(callsInPeriod, Call::second));
        ofCalls("served_worst_zone", callsInPeriod -> Calls.worstServedFraction(callsInPeriod, Call::zone));
        ofCalls("served_worst_product", callsInPeriod -> Calls.worstServedFraction(callsInPeriod, Call::product));
        ofCalls("served_worst_tenant", callsInPeriod -> Calls.worstServedFraction(callsInPeriod, Call::tenant));
        ofCalls("rate_limited", callsInPeriod -> Calls.fraction(callsInPeriod, Outcome.RATE_LIMITED));
        ofCalls("errored", callsInPeriod -> Calls.fraction(callsInPeriod, Outcome.ERRORED));
        ofCalls("p99_ms", callsInPeriod -> Calls.latencyPercentileMs(callsInPeriod, 99));
        ofRun("lost", () -> lostCalls);
        metrics.put("attempts_per_call", this::attemptsPerCall);
    }

    private void registerRecoveryMetrics() {
        ofRun("time_to_full_s", recovery::timeToFullService);
        ofRun("regained", recovery::regainedFraction);
        ofRun("start_s", recovery::longestStart);
        ofRun("full_after_start_s", recovery::timeToFullServiceAfterStart);
    }

    private void registerPeakMetrics() {
        metrics.put("peak_list_calls", peaks::listCalls);
        ofRun("peak_list_calls_over_steady", peaks::listCallsOverSteady);
        metrics.put("peak_connections", peaks::connections);
        ofRun("peak_connections_over_steady", peaks::connectionsOverSteady);
        metrics.put("peak_further_connections", peaks::furtherConnections);
        ofRun("peak_further_connections_over_steady", peaks::furtherConnectionsOverSteady);
        ofRun("peak_attempts_over_steady", peaks::attemptsOverSteady);
    }

    private void registerProcessMetrics() {
        ofRun("datagrams_per_second", this::datagramsPerSecond);
        ofRun("crashes", () -> countEvents(event -> event.startsWith("crash")));
        ofRun("killed_after_term", () -> countEvents(event -> event.equals("killed after term")));
    }

    /** Registers a metric of the calls of a period. */
    private void ofCalls(String name, ToDoubleFunction<List<Call>> metric) {
        metrics.put(name, period -> metric.applyAsDouble(calls(period)));
    }

    /** Registers a metric that is the same for all periods. */
    private void ofRun(String name, DoubleSupplier metric) {
        metrics.put(name, period -> metric.getAsDouble());
    }

    /** Returns the value of a metric over a period. */
    public double get(String metric, Period period) {
        ToDoubleFunction<Period> computation = metrics.get(metric);
        if (computation == null) {
            throw new IllegalArgumentException("unknown metric: " + metric);
        }
        return computation.applyAsDouble(period);
    }

    /**
     * Returns the ratio of the earned value to the possible value of the calls in a period. Calls that are served after their latency
     * objective earn a part.
     */
    public double valueFraction(Period period) {
        return Calls.valueFraction(calls(period));
    }

    /** Returns all calls of the measured load, ordered by their intended time. */
    public List<Call> calls() {
        return calls;
    }

    private List<Call> calls(Period period) {
        return calls.stream().filter(call -> periods.includes(period, call)).toList();
    }

    private double attemptsPerCall(Period period) {
        long attempts = records.upstreamAttempts.stream()
                .filter(attempt -> attempt.tier() == 0 && periods.includes(period, attempt.startedAt()))
                .count();
        return attempts / (double) Math.max(1, calls(period).size());
    }

    private double datagramsPerSecond() {
        int samples = records.secondSamples.size();
        return samples == 0 ? 0 : records.secondSamples.get(samples - 1).datagrams() / scenario.seconds();
    }

    private double countEvents(Predicate<String> matches) {
        return records.processEvents.stream()
                .filter(processEvent -> matches.test(processEvent.event()))
                .count();
    }
}
