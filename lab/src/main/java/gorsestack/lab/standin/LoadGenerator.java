package gorsestack.lab.standin;

import gorsestack.lab.scenario.Scenario.Load;
import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.scenario.Scenario.Tenant;
import gorsestack.lab.standin.BalancerClient.Response;
import gorsestack.lab.standin.FrontProxies.Backend;
import gorsestack.lab.verify.Records;
import gorsestack.lab.verify.Records.ClientRequest;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Stands in for the clients: generates an open-loop load of calls, whose arrivals do not depend on the progress of earlier calls, and
 * retries failed calls as clients do. Confined to the event loop.
 */
public final class LoadGenerator implements AutoCloseable {
    /** How long after its deadline a request still waits for a response, so that a late response is distinguished from a missing one. */
    private static final long LATE_RESPONSE_WAIT_NANOS = 300_000_000L;

    /** The balancer number of a request for which no balancer was in rotation. */
    private static final int NO_BALANCER = -1;

    /** The maximum fraction by which a client extends the delay of a Retry-After header. */
    private static final double RETRY_AFTER_JITTER = 0.2;

    /** A call of a client, which may take several tries. The intended time is that of its arrival. */
    private record Call(int number, Product product, String zone, String tenant, long intendedAt) {}

    /** One try of a call. Its deadline is the time budget in nanoseconds after its intended time. */
    private record Try(Call call, int number, long intendedAt, long timeBudget) {
        String id() {
            return "c" + call.number + "t" + number;
        }

        long deadline() {
            return intendedAt + timeBudget;
        }
    }

    private final Testbed testbed;
    private final Load load;
    private final FrontProxies frontProxies;
    private final SplittableRandom arrivalRandom;
    /** Draws the decisions of clients. It is separate, so that these decisions do not change the arrivals. */
    private final SplittableRandom behaviorRandom;

    private final List<Double> zoneWeights;
    private double burstFactor = 1;
    private boolean stopped;
    private int calls;
    private int openCalls;
    private long nextArrival;

    /** Starts the front proxies and their health checks. The callback runs whenever a balancer becomes ready. */
    public LoadGenerator(Testbed testbed, IntConsumer onReady) {
        this.testbed = testbed;
        load = testbed.scenario.load();
        arrivalRandom = testbed.random.split();
        behaviorRandom = testbed.random.split();
        frontProxies = new FrontProxies(testbed, onReady);
        zoneWeights = zoneWeights(testbed.scenario.zones().size(), load.zoneImbalance());
    }

    /** Returns the fraction of the load of each zone. The fractions decrease in equal steps; the first is the last times the imbalance. */
    private static List<Double> zoneWeights(int zones, double imbalance) {
        double[] weights = IntStream.range(0, zones)
                .mapToDouble(zone -> zones == 1 ? 1 : 1 + (imbalance - 1) * (zones - 1 - zone) / (zones - 1))
                .toArray();
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double total = sum;
        return Arrays.stream(weights).mapToObj(weight -> weight / total).toList();
    }

    /** Returns the number of balancers that are ready. */
    public int ready() {
        return frontProxies.ready();
    }

    /** Returns the number of calls in progress. */
    public int openCalls() {
        return openCalls;
    }

    /** Multiplies the rate of the load from now on; 1 is the normal rate. */
    public void setBurst(double factor) {
        burstFactor = factor;
    }

    /** Starts the load. */
    public void start() {
        nextArrival = testbed.now();
        scheduleArrival();
    }

    /** Ends the arrival of calls. Calls in progress continue. */
    public void stop() {
        stopped = true;
    }

    @Override
    public void close() {
        stopped = true;
        frontProxies.close();
    }

    private void scheduleArrival() {
        if (stopped) {
            return;
        }
        double interval = -StrictMath.log(1 - arrivalRandom.nextDouble()) / (load.rate() * burstFactor);
        long arrivalAt = nextArrival + (long) (interval * 1e9);
        nextArrival = arrivalAt;
        testbed.at(arrivalAt, () -> {
            if (!stopped) {
                startCall(arrivalAt);
            }
            scheduleArrival();
        });
    }

    private void startCall(long intendedAt) {
        String zone =
                testbed.scenario.zones().get(drawIndex(zoneWeights, arrivalRandom.nextDouble(), weight -> weight));
        Product product = draw(testbed.scenario.products(), Product::weight);
        openCalls++;
        startTry(new Call(calls++, product, zone, drawTenant(), intendedAt), intendedAt, 0);
    }

    private String drawTenant() {
        List<Tenant> tenants = testbed.scenario.tenants();
        return tenants.isEmpty() ? "" : draw(tenants, Tenant::weight).name();
    }

    private <T> T draw(List<T> items, ToDoubleFunction<T> weight) {
        double sum = items.stream().mapToDouble(weight).sum();
        return items.get(drawIndex(items, arrivalRandom.nextDouble() * sum, weight));
    }

    /**
     * Returns the index of the item whose part of the range contains a point. The parts follow one another from 0, and each is as long as
     * the weight of its item.
     */
    private static <T> int drawIndex(List<T> items, double point, ToDoubleFunction<T> weight) {
        double remaining = point;
        int index = 0;
        while (index < items.size() - 1 && remaining >= weight.applyAsDouble(items.get(index))) {
            remaining -= weight.applyAsDouble(items.get(index++));
        }
        return index;
    }

    private void startTry(Call call, long intendedAt, int number) {
        long timeBudget = (long) (call.product.timeoutMs() * load.tryTimeoutFraction() * 1e6);
        Try current = new Try(call, number, intendedAt, timeBudget);
        Backend backend = frontProxies.choose(call.zone);
        if (backend == null) {
            complete(current, NO_BALANCER, Response.notSent("refused", testbed.now()));
        } else {
            send(current, backend, false);
        }
    }

    private void send(Try current, Backend backend, boolean resent) {
        Call call = current.call;
        boolean abandons = load.abandonFraction() > 0 && behaviorRandom.nextDouble() < load.abandonFraction();
        long responseDeadline = abandons
                ? current.intendedAt + (long) (current.timeBudget * behaviorRandom.nextDouble())
                : current.deadline() + LATE_RESPONSE_WAIT_NANOS;
        // The remaining time is counted from when the request is sent, which may be later than intended.
        double remainingTimeMs = Math.max(1, (current.deadline() - testbed.now()) / 1e6);
        HttpMessages.ServiceRequest request = new HttpMessages.ServiceRequest(
                call.product, current.id(), "k" + call.number, call.tenant, remainingTimeMs);
        backend.callClient.call(HttpMessages.serviceRequest(request), current.id(), responseDeadline, response -> {
            Backend otherBackend =
                    !resent && closedWhileIdle(current, response) ? frontProxies.choose(call.zone) : null;
            if (otherBackend != null) {
                send(current, otherBackend, true);
            } else {
                boolean abandoned = abandons && response.outcome().equals("timeout");
                complete(current, backend.balancer, abandoned ? response.abandoned() : response);
            }
        });
    }

    /**
     * Returns whether an idle connection was closed while the request was in transit. HTTP clients then send the request again on another
     * connection.
     */
    private boolean closedWhileIdle(Try current, Response response) {
        return response.outcome().equals("closed")
                && !response.firstOnConnection()
                && !testbed.idsSeenUpstream.contains(current.id());
    }

    private void complete(Try current, int balancer, Response response) {
        boolean retried = shouldRetry(current, response);
        record(current, balancer, response, !retried);
        if (!retried) {
            openCalls--;
            return;
        }
        double delayMs = Math.max(
                load.retryDelayMs() * (0.5 + behaviorRandom.nextDouble()),
                response.retryAfter() * 1e3 * (1 + RETRY_AFTER_JITTER * behaviorRandom.nextDouble()));
        long retryAt = testbed.now() + (long) (delayMs * 1e6);
        testbed.at(retryAt, () -> startTry(current.call, retryAt, current.number + 1));
    }

    private boolean shouldRetry(Try current, Response response) {
        boolean finished =
                response.outcome().equals("200") || response.outcome().equals("left");
        boolean timedOut = testbed.now() - current.call.intendedAt > current.call.product.timeoutMs() * 1e6;
        if (finished || timedOut || current.number + 1 >= load.maxTries()) {
            return false;
        }
        // A single-shot call is retried only if it was not sent, or if the status means that a retry is harmless.
        return !current.call.product.singleShot()
                || response.outcome().equals("429")
                || response.outcome().equals("503")
                || response.sentAt() == Records.NEVER;
    }

    private void record(Try current, int balancer, Response response, boolean finalTry) {
        Call call = current.call;
        boolean correct = response.outcome().equals("200") && response.body().startsWith(current.id() + " ");
        testbed.records.clientRequests.add(new ClientRequest(
                current.id(),
                call.number,
                current.number,
                call.product.name(),
                call.zone,
                balancer,
                current.intendedAt,
                response.sentAt(),
                current.timeBudget,
                response.endedAt(),
                response.outcome(),
                response.firstOnConnection(),
                correct,
                response.retryAfter(),
                finalTry,
                "clients-" + call.zone,
                call.tenant));
    }
}
