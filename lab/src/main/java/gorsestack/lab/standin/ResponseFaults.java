package gorsestack.lab.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The fractions of an upstream's requests and responses that are currently affected by faults. {@link Upstream} sets them, and its
 * connections draw a random number for each kind of fault that they consider: for errors when a request arrives, for the others when it
 * has been processed. An anomaly with the fraction 0 draws no random number. Confined to the event loop.
 */
final class ResponseFaults {
    private final SplittableRandom random;
    private final Map<ResponseAnomaly, Double> anomalyFractions = new EnumMap<>(ResponseAnomaly.class);
    private double errorFraction;
    private double malformedFraction;
    private double lostResponseFraction;

    ResponseFaults(SplittableRandom random) {
        this.random = random;
    }

    void setErrors(double fraction) {
        errorFraction = fraction;
    }

    void setMalformed(double fraction) {
        malformedFraction = fraction;
    }

    void setLostResponses(double fraction) {
        lostResponseFraction = fraction;
    }

    void setAnomaly(ResponseAnomaly anomaly, double fraction) {
        anomalyFractions.put(anomaly, fraction);
    }

    boolean drawError() {
        return random.nextDouble() < errorFraction;
    }

    boolean drawMalformed() {
        return random.nextDouble() < malformedFraction;
    }

    boolean drawLostResponse() {
        return random.nextDouble() < lostResponseFraction;
    }

    boolean draw(ResponseAnomaly anomaly) {
        double fraction = anomalyFractions.getOrDefault(anomaly, 0.0);
        return fraction > 0 && random.nextDouble() < fraction;
    }
}
