package gorsestack.lab.run;

import gorsestack.lab.standin.Testbed;
import gorsestack.lab.verify.Records.LoopDelay;
import org.HdrHistogram.Histogram;

/**
 * Measures how late the event loop runs tasks. All stand-ins and measurements of the lab run on this loop and are delayed as much, so a
 * run with high delays is inconclusive. Each {@link ScenarioRun} has one.
 */
final class LoopDelayMonitor {
    private static final long INTERVAL_NANOS = 10_000_000L;
    /** The highest delay that is recorded; a longer one is recorded as this. */
    private static final long MAX_DELAY_US = 59_000_000L;
    /** The highest value that the histogram can hold. */
    private static final long HIGHEST_TRACKABLE_US = 60_000_000L;
    /** The number of significant decimal digits of recorded delays. */
    private static final int DIGITS = 3;

    private final Testbed testbed;
    private final Histogram delays = new Histogram(HIGHEST_TRACKABLE_US, DIGITS);
    private volatile boolean running;

    LoopDelayMonitor(Testbed testbed) {
        this.testbed = testbed;
    }

    /** Starts the measurement, which begins 10 ms after the testbed's clock reads zero. Called on the event loop. */
    void start() {
        running = true;
        scheduleMeasurement(INTERVAL_NANOS);
    }

    /** Ends the measurement; may be called from any thread. */
    void stop() {
        running = false;
    }

    private void scheduleMeasurement(long due) {
        testbed.at(due, () -> {
            long delayUs = (testbed.now() - due) / 1000;
            delays.recordValue(Math.max(0, Math.min(MAX_DELAY_US, delayUs)));
            if (running) {
                scheduleMeasurement(Math.max(due + INTERVAL_NANOS, testbed.now()));
            }
        });
    }

    /** Returns the distribution of all delays; called after the event loop has terminated. */
    LoopDelay result() {
        return new LoopDelay(delays.getValueAtPercentile(50), delays.getValueAtPercentile(99), delays.getMaxValue());
    }
}
