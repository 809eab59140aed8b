package gorsestack.lab.standin;

import java.util.EnumMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The fractions of an upstream's responses that are currently faulty. Draws a random number for each response to decide whether it is
 * faulty. Confined to the event loop.
 */
final class ResponseFaults {
    private final SplittableRandom random;
    private final Map<ResponseAnomaly, Double> anomalyFractions = new EnumMap<>(ResponseAnomaly.class);
    private double errorFraction;
    private double malformedFraction;
    private double lostFraction;

    ResponseFaults(SplittableRandom random) {
        this.random = random;
    }

    void setErrors(double fraction) {
        errorFraction = fraction;
    }

    void setMalformed(double fraction) {
        malformedFraction = fraction;
    }

    void setLost(double fraction) {
        lostFraction = fraction;
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

    boolean drawLost() {
        return random.nextDouble() < lostFraction;
    }

    boolean draw(ResponseAnomaly anomaly) {
        double fraction = anomalyFractions.getOrDefault(anomaly, 0.0);
        return fraction > 0 && random.nextDouble() < fraction;
    }
}
