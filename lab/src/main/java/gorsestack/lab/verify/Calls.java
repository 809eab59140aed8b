package gorsestack.lab.verify;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.verify.Call.Outcome;
import gorsestack.lab.verify.Records.ClientRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Builds calls from the recorded tries of clients, and computes fractions and latencies of a list of calls. */
public final class Calls {
    /** The highest latency that a histogram can record, in microseconds; higher latencies are recorded as this one. */
    private static final long MAX_LATENCY_US = 600_000_000L;

    /** The number of significant decimal digits of recorded latencies. */
    private static final int LATENCY_DIGITS = 3;

    private Calls() {}

    /** Returns all calls of the measured load in the order of their intended times, without those of the warm-up. */
    static List<Call> of(Scenario scenario, Records records) {
        Map<Integer, Long> firstIntended = new HashMap<>();
        records.clientRequests.forEach(request -> firstIntended.merge(request.call(), request.intended(), Math::min));
        Map<String, Product> products = new HashMap<>();
        scenario.products().forEach(product -> products.put(product.name(), product));
        List<Call> calls = new ArrayList<>();
        for (ClientRequest request : records.clientRequests) {
            long intended = firstIntended.get(request.call());
            if (request.finalTry() && intended >= 0) {
                calls.add(call(request, intended, products.get(request.product())));
            }
        }
        calls.sort(Comparator.comparingLong(Call::intended));
        return calls;
    }

    private static Call call(ClientRequest finalTry, long intended, Product product) {
        Outcome outcome = outcome(finalTry);
        boolean withinSlo = finalTry.ended() - intended <= product.sloMs() * 1e6;
        double earned = outcome != Outcome.SERVED ? 0 : withinSlo ? 1 : product.lateValue();
        return new Call(
                finalTry.call(),
                finalTry.product(),
                finalTry.zone(),
                finalTry.tenant(),
                intended,
                finalTry.ended(),
                outcome,
                earned * product.value(),
                product.value());
    }

    private static Outcome outcome(ClientRequest finalTry) {
        boolean inTime = finalTry.ended() <= finalTry.intended() + finalTry.timeBudget();
        if (finalTry.outcome().equals("200") && finalTry.correct() && inTime) {
            return Outcome.SERVED;
        }
        if (finalTry.rejected()) {
            return Outcome.RATE_LIMITED;
        }
        return finalTry.outcome().equals("left") ? Outcome.ABANDONED : Outcome.ERRORED;
    }

    /** Returns the served fraction of the calls that count, or 1 if there are none. */
    public static double servedFraction(List<Call> calls) {
        long counted = calls.stream().filter(Call::counts).count();
        return counted == 0 ? 1 : calls.stream().filter(Call::served).count() / (double) counted;
    }

    /** Groups calls by a property and returns the lowest served fraction of any group, or 1 if there are no calls. */
    static double worstServedFraction(List<Call> calls, Function<Call, Object> property) {
        Map<Object, List<Call>> groups = new HashMap<>();
        calls.forEach(call -> groups.computeIfAbsent(property.apply(call), key -> new ArrayList<>())
                .add(call));
        return groups.values().stream().mapToDouble(Calls::servedFraction).min().orElse(1);
    }

    /** Returns the fraction of all calls that ended with a certain outcome, or 0 if there are no calls. */
    static double fraction(List<Call> calls, Outcome outcome) {
        return calls.isEmpty()
                ? 0
                : calls.stream().filter(call -> call.outcome() == outcome).count() / (double) calls.size();
    }

    /** Returns the ratio of the earned value to the possible value of the calls that count, or 1 if there are none. */
    static double valueFraction(List<Call> calls) {
        List<Call> counted = calls.stream().filter(Call::counts).toList();
        double possible = 0;
        double earned = 0;
        for (Call call : counted) {
            earned += call.value();
            possible += call.possibleValue();
        }
        return possible == 0 ? 1 : earned / possible;
    }

    /** Returns a percentile of the latency of served calls, in ms from the intended time to the end of the final try; 0 if none was served. */
    public static double latencyPercentileMs(List<Call> calls, double percentile) {
        Histogram histogram = new Histogram(MAX_LATENCY_US, LATENCY_DIGITS);
        calls.stream()
                .filter(Call::served)
                .forEach(call ->
                        histogram.recordValue(Math.min(MAX_LATENCY_US, (call.ended() - call.intended()) / 1000)));
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / 1e3;
    }

    /** Groups calls by the second of their intended time; seconds without calls are missing from the result. */
    public static Map<Long, List<Call>> bySecond(List<Call> calls) {
        Map<Long, List<Call>> seconds = new TreeMap<>();
        calls.forEach(call -> seconds.computeIfAbsent(call.second(), second -> new ArrayList<>())
                .add(call));
        return seconds;
    }
}
