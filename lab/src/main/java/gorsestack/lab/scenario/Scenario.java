package gorsestack.lab.scenario;

import java.util.List;

/**
 * The definition of a run: the fleet, the parties around it, the faults to inject, and the invariants to check. {@link ScenarioReader}
 * creates it from a scenario file, whose keys docs/lab.md describes; the other packages of the lab read it. Times are in seconds unless
 * the name of a component says otherwise. Immutable.
 */
public record Scenario(
        String name,
        String about,
        double seconds,
        double warmUp,
        double completionTimeout,
        List<String> zones,
        Fleet fleet,
        List<Tier> tiers,
        Discovery discovery,
        Rules rules,
        List<Product> products,
        List<Tenant> tenants,
        Load load,
        List<Fault> faults,
        List<Invariant> invariants) {

    /**
     * The balancers of the first tier, their resources, and the health checks of the front proxies. In addition, each upstream that calls a
     * further tier has one balancer as its sidecar.
     */
    public record Fleet(
            int balancers,
            double cores,
            int memoryMb,
            int sockets,
            boolean peers,
            boolean management,
            boolean state,
            boolean forgetsEndpoints,
            double readyTimeout,
            double healthInterval,
            double deadTimeout) {}

    /**
     * The upstreams of one tier.
     *
     * @param callsToNextTier number of sequential calls that each request makes to the next tier
     * @param finishesAbandonedWork whether requests whose caller has disconnected are still processed to the end
     */
    public record Tier(
            String name,
            int upstreams,
            int cells,
            int slots,
            int queue,
            int connections,
            double speed,
            double slowFactor,
            int callsToNextTier,
            boolean finishesAbandonedWork) {}

    /**
     * The discovery service.
     *
     * @param callsPerSecond capacity of the service
     * @param maxWait longest time that a call may wait in the service
     * @param propagationDelay delay between a change and its publication
     * @param failureDetectionDelay delay between a crash and its detection
     */
    public record Discovery(
            double callsPerSecond, double maxWait, double propagationDelay, double failureDetectionDelay) {}

    /** The settings of the balancers against which their behavior is verified. */
    public record Rules(
            double drainGrace,
            double slowStartPeriod,
            double initialCapacity,
            double overloadWindow,
            double overloadFactor,
            double maxPollInterval,
            double notificationDeadline,
            int maxAttempts,
            boolean hedging,
            boolean mayCancel,
            boolean retryAfter,
            double connectTimeoutMs,
            double idleMs) {}

    /**
     * A kind of call.
     *
     * @param semantics whether a call may be executed more than once: free (idempotent), guarded (deduplicated by a key) or single_shot
     */
    public record Product(
            String name,
            String semantics,
            String keyScope,
            double repeatWindow,
            double weight,
            double workMs,
            double workSigma,
            double sloMs,
            double timeoutMs,
            double value,
            double lateValue) {

        /** Returns whether any upstream may execute the call any number of times. */
        public boolean idempotent() {
            return semantics.equals("free");
        }

        /** Returns whether upstreams deduplicate the call by its idempotency key. */
        public boolean deduplicated() {
            return semantics.equals("guarded");
        }

        /** Returns whether the call must not be sent again unless it is known not to have been executed. */
        public boolean singleShot() {
            return semantics.equals("single_shot");
        }
    }

    /**
     * A tenant, whose name its calls carry.
     *
     * @param weight share of the calls, relative to the weights of the other tenants
     */
    public record Tenant(String name, double weight) {}

    /**
     * The calls of clients, which are a Poisson process.
     *
     * @param rate calls per second to the whole fleet
     * @param zoneImbalance ratio of the rate of the busiest zone to that of the least busy zone
     */
    public record Load(
            double rate,
            double zoneImbalance,
            int maxTries,
            double retryDelayMs,
            double tryTimeoutFraction,
            double abandonFraction) {}

    /**
     * One fault to inject, either at a time or when a line of a balancer's log matches a pattern.
     *
     * @param at time of the fault or, if a log line triggers it, time from which the log is watched; earlier lines trigger it too
     * @param triggerBalancer balancer whose log triggers the fault, or empty
     * @param triggerPattern pattern of the log line that triggers the fault, or empty
     * @param from expression that selects the parties on which the fault acts, or empty
     * @param to expression that selects the parties at the other end of faulty links; for the kind calls, the system call and its error
     * @param size extent of the fault, whose meaning depends on the kind
     * @param restartDelay time until what the fault has ended is started again, or -1 for never
     * @param state what becomes of the state folders of balancers before they are started again
     * @param interval time between the parties that the fault ends or replaces one after another; 0 for all at once
     * @param measured whether metrics are computed relative to this fault
     */
    public record Fault(
            int number,
            String kind,
            double at,
            String triggerBalancer,
            String triggerPattern,
            double duration,
            String from,
            String to,
            double size,
            double restartDelay,
            String state,
            double interval,
            boolean bothDirections,
            boolean measured) {

        /** Returns the kind of the fault and its parties, for reports. */
        public String label() {
            return kind + (from.isEmpty() ? "" : " " + from) + (to.isEmpty() ? "" : " to " + to);
        }
    }

    /** The bounds of a metric over a period. An absent bound is infinite. */
    public record Invariant(String metric, Period period, double min, double max) {
        /** Returns whether a value is within the bounds. */
        public boolean holds(double value) {
            return value >= min && value <= max;
        }

        /** Returns the bounds as text, for reports. */
        public String expected() {
            return (min > Double.NEGATIVE_INFINITY ? "at least " + min : "")
                    + (max < Double.POSITIVE_INFINITY
                            ? (min > Double.NEGATIVE_INFINITY ? " and " : "") + "at most " + max
                            : "");
        }
    }

    /** Returns the number of all balancers, which are those of the first tier and the sidecars of upstreams that call a further tier. */
    public int processes() {
        int total = fleet.balancers;
        for (int tier = 0; tier + 1 < tiers.size(); tier++) {
            total += tiers.get(tier).upstreams;
        }
        return total;
    }
}
