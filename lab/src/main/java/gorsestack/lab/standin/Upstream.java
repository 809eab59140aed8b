package gorsestack.lab.standin;

import gorsestack.lab.net.FaultyListener;
import gorsestack.lab.scenario.Scenario.Rules;
import gorsestack.lab.scenario.Scenario.Tier;
import gorsestack.lab.verify.Records.ConnectionOpened;
import gorsestack.lab.verify.Records.SlowStartOverload;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for an upstream, with one listener for each balancer that may call it. Faults make it crash, hang, slow down, drain or respond
 * incorrectly. Confined to the event loop.
 */
public final class Upstream implements AutoCloseable {
    /** The sidecar number of an upstream that calls no other tier. */
    static final int NO_SIDECAR = -1;

    /** The interval of the numbers of slow upstreams: every third upstream is of the slow type. */
    private static final int SLOW_TYPE_INTERVAL = 3;

    public final int number;
    public final int tier;
    public final String zone;
    public final int cell;
    /** The start time in milliseconds since the epoch; 0 if the upstream has been warm from the beginning. */
    final long startedAtMs;

    final Tier settings;
    final CapacityModel capacity;
    final ResponseFaults faults;
    /** The store of idempotency keys, which is the same for all upstreams of the tier. */
    final IdempotencyStore idempotencyStore;
    /** The client for calls to the next tier, through the sidecar; null at the last tier. */
    final BalancerClient nextTierClient;

    private final Testbed testbed;
    private final Map<Integer, FaultyListener> listeners = new HashMap<>();
    private boolean up = true;
    private boolean draining;
    /** The number of calls to the next tier so far. */
    private int nextTierCallCount;

    Upstream(
            Testbed testbed,
            int number,
            int tier,
            String zone,
            int cell,
            IdempotencyStore idempotencyStore,
            List<Integer> balancers,
            int sidecar,
            boolean warm) {
        this.testbed = testbed;
        this.number = number;
        this.tier = tier;
        this.zone = zone;
        this.cell = cell;
        this.idempotencyStore = idempotencyStore;
        settings = testbed.scenario.tiers().get(tier);
        faults = new ResponseFaults(testbed.random);
        startedAtMs = warm ? 0 : System.currentTimeMillis();
        capacity = new CapacityModel(testbed, capacitySettings(), warm, this::slowStartOverloaded);
        testbed.onClockShift(capacity::shiftClock);
        nextTierClient = sidecar == NO_SIDECAR ? null : new BalancerClient(testbed, name(), sidecar);
        balancers.forEach(this::listen);
    }

    private CapacityModel.Settings capacitySettings() {
        Rules rules = testbed.scenario.rules();
        return new CapacityModel.Settings(
                slow() ? settings.speed() * settings.slowFactor() : settings.speed(),
                settings.slots(),
                settings.queue(),
                rules.slowStartPeriod(),
                rules.initialCapacity(),
                rules.overloadWindow(),
                rules.overloadFactor());
    }

    private void listen(int balancer) {
        FaultyListener listener = new FaultyListener(
                testbed.loop,
                testbed.addresses.upstream(balancer, number),
                testbed.links.between("n" + balancer, name()),
                testbed.random.split(),
                channel -> initializeConnection(channel, balancer));
        listeners.put(balancer, listener);
        listener.open();
    }

    private void initializeConnection(SocketChannel channel, int balancer) {
        testbed.connectionsOpened++;
        testbed.records.connectionsOpened.add(new ConnectionOpened(balancer, number, testbed.now()));
        ArrivalTimeHandler arrivals = new ArrivalTimeHandler(testbed);
        channel.pipeline()
                .addLast(
                        arrivals,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(HttpMessages.MAX_BODY_BYTES),
                        new UpstreamConnection(testbed, this, balancer, arrivals));
    }

    /** Records an overload, after which the upstream crashes. */
    private void slowStartOverloaded(CapacityModel.Overload overload) {
        testbed.records.slowStartOverloads.add(
                new SlowStartOverload(number, testbed.now(), overload.offeredMs(), overload.capacityMs()));
        testbed.loop.execute(this::crash);
    }

    /** Returns the name under which discovery lists the upstream. */
    public String name() {
        return "u" + number;
    }

    /** Returns whether the upstream is of the slow type. */
    boolean slow() {
        return number % SLOW_TYPE_INTERVAL == SLOW_TYPE_INTERVAL - 1;
    }

    /** Returns the number of established connections. */
    public int connections() {
        return listeners.values().stream().mapToInt(FaultyListener::connections).sum();
    }

    /** Returns whether the upstream is running, that is, has not crashed. */
    public boolean up() {
        return up;
    }

    /** Returns whether all requests are rejected now, because there are too many connections or a drain has finished all work. */
    boolean rejecting() {
        return connections() > settings.connections() || (draining && capacity.jobs() == 0);
    }

    /** Returns whether each request causes calls to the next tier. */
    boolean callsNextTier() {
        return nextTierClient != null && settings.callsToNextTier() > 0;
    }

    /** Returns a new id for a call to the next tier on behalf of a request. */
    String nextTierId(String requestId) {
        return requestId + "." + number + "." + nextTierCallCount++;
    }

    /** Simulates the death of the process: resets all connections and refuses new ones. */
    public void crash() {
        up = false;
        capacity.crash();
        listeners.values().forEach(listener -> listener.refuse(true));
    }

    /** Restarts the upstream under the same name, with a slow start. */
    public void restart() {
        up = true;
        draining = false;
        capacity.restart();
        listeners.values().forEach(FaultyListener::open);
    }

    /** Starts a drain: all requests are rejected once no work is in progress. */
    public void drain() {
        draining = true;
    }

    /** Begins or ends a hang. While it lasts, no work begins or completes, but connections stay open. */
    public void setHanging(boolean hanging) {
        capacity.setHanging(hanging);
    }

    /** Multiplies the duration of all work that starts from now on by a factor. */
    public void setSlowdown(double factor) {
        capacity.setSlowdown(factor);
    }

    /** Sets the fraction of the requests that fail with an error status. */
    public void setErrors(double fraction) {
        faults.setErrors(fraction);
    }

    /** Sets the fraction of the responses that are malformed. */
    public void setMalformedResponses(double fraction) {
        faults.setMalformed(fraction);
    }

    /** Sets the fraction of the requests that are executed without a response. */
    public void setLostResponses(double fraction) {
        faults.setLostResponses(fraction);
    }

    /** Sets the fraction of the responses that have an anomaly. */
    public void setAnomaly(ResponseAnomaly anomaly, double fraction) {
        faults.setAnomaly(anomaly, fraction);
    }

    @Override
    public void close() {
        listeners.values().forEach(FaultyListener::close);
    }
}
