package gorsestack.decision;

import static gorsestack.decision.PolicySimulation.MS;
import static gorsestack.decision.PolicySimulation.entry;
import static gorsestack.decision.PolicySimulation.withSixUpstreams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Scope;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** Tests of ejection, probes and readmission of upstreams. */
class OutlierDetectorTest {
    private static OutlierDetector detector(UpstreamTable table, UpstreamState upstream) {
        Settings settings = PolicySimulation.settings(1, 0, 2, false, Scope.ALL);
        FleetQuota fleetQuota = new FleetQuota(settings);
        Locality[] localities = {new Locality(0, settings.rules().slowStartTime())};
        upstream.locality = localities[0];
        table.update(upstream, entry("u0", EndpointState.READY, 0, 0, "a"));
        SeededRandom random = new SeededRandom(1);
        SlowStart slowStart = new SlowStart(settings.rules(), fleetQuota, table, localities, random);
        return new OutlierDetector(fleetQuota, table, slowStart, random);
    }

    @Test
    void ejectsAfterThreeConsecutiveFailuresAndReadmitsAfterSuccessInTime() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState upstream = table.findOrAdd("u0");
        OutlierDetector detector = detector(table, upstream);
        detector.onOutcome(upstream, Outcome.ERROR, false, MS);
        detector.onOutcome(upstream, Outcome.ERROR, false, MS);
        detector.onOutcome(upstream, Outcome.CANCELLED, false, MS);
        assertFalse(upstream.ejected);
        assertNull(detector.nextProbe(MS));
        detector.onOutcome(upstream, Outcome.TIMED_OUT, false, MS);
        assertTrue(upstream.ejected);
        assertEquals(1, upstream.locality.ejectedCount);
        assertSame(upstream, detector.nextProbe(MS));
        detector.onOutcome(upstream, Outcome.FULFILLED, true, MS);
        assertTrue(upstream.ejected, "a late success does not readmit the upstream");
        detector.onOutcome(upstream, Outcome.FULFILLED, false, MS);
        assertFalse(upstream.ejected);
        assertEquals(0, upstream.locality.ejectedCount);
    }

    @Test
    void ejectsUpstreamThatHasNotRespondedSinceAttempt() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState upstream = table.findOrAdd("u0");
        OutlierDetector detector = detector(table, upstream);
        CallAttempt attempt = new CallAttempt(upstream, 2 * MS);
        upstream.lastResponseAt = 2 * MS;
        detector.ejectIfUnresponsive(attempt);
        assertFalse(upstream.ejected);
        upstream.lastResponseAt = MS;
        detector.ejectIfUnresponsive(attempt);
        assertTrue(upstream.ejected);
    }

    /** Any upstream may send malformed responses; ejecting upstreams for them would empty the fleet. */
    @Test
    void doesNotEjectUpstreamForMalformedResponses() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 1, 2, false, Scope.ALL), 3);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            simulation.call("c" + i, "once", 1000 * MS);
            PolicySimulation.ApiCall call = simulation.calls.get("c" + i);
            if (i >= 30) {
                used.add(call.attempts.get(0).upstream);
            }
            simulation.end(
                    "c" + i,
                    0,
                    call.attempts.get(0).upstream.equals("u0") ? Outcome.MALFORMED_RESPONSE : Outcome.FULFILLED);
        }
        assertTrue(used.contains("u0"), used.toString());
    }

    /**
     * When all limits are reached, the upstreams of a lost zone still have capacity; without a check they would get every
     * call that exceeds the limits.
     */
    @Test
    void sendsNoExcessCallsToEjectedUpstreams() {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        int toLostZone = 0;
        for (int i = 0; i < 1000; i++) {
            String id = "c" + i;
            simulation.call(id, "once", 1000 * MS);
            List<PolicySimulation.Attempt> attempts = simulation.calls.get(id).attempts;
            if (!attempts.isEmpty() && attempts.get(0).upstream.compareTo("u3") >= 0) {
                toLostZone++;
                simulation.end(id, 0, Outcome.UNREACHABLE);
            } else {
                simulation.fulfilLater(id, 150 * MS);
            }
            simulation.runTo(simulation.now + 5 * MS);
        }
        assertTrue(toLostZone > 0 && toLostZone < 20, toLostZone + " calls to the lost zone");
    }

    /**
     * Makes four calls a second and returns how many of them each upstream of zone b gets. The upstreams of zone a are
     * overloaded by other calls, and those of zone b are ejected.
     */
    private static int[] probesOfEjected(int balancers, String product, int seconds, boolean hangs) {
        int[] probes = new int[3];
        for (int b = 0; b < balancers; b++) {
            PolicySimulation simulation =
                    withSixUpstreams(PolicySimulation.settings(balancers, 0, 2, false, Scope.ALL), b);
            for (int i = 0; i < 100 * seconds; i++) {
                simulation.call("fills" + i, "once", 990 * MS);
                probedUpstream(simulation, "fills" + i, false);
                if (i % 25 == 0) {
                    simulation.call("c" + i, product, 990 * MS);
                    int upstream = probedUpstream(simulation, "c" + i, hangs);
                    if (upstream >= 0) {
                        probes[upstream]++;
                    }
                }
                simulation.runTo(simulation.now + 10 * MS);
            }
            simulation.settle();
        }
        return probes;
    }

    /**
     * Returns the index of the upstream of zone b that the call was sent to; -1 if it was sent to zone a or nowhere. The
     * call fails immediately or hangs in zone b, and gets a late response in zone a.
     */
    private static int probedUpstream(PolicySimulation simulation, String id, boolean hangs) {
        List<PolicySimulation.Attempt> attempts = simulation.calls.get(id).attempts;
        int upstream = attempts.isEmpty() ? -1 : attempts.get(0).upstream.charAt(1) - '3';
        if (upstream >= 0 && !hangs) {
            simulation.end(id, 0, Outcome.UNREACHABLE);
        } else if (upstream < 0 && !attempts.isEmpty()) {
            simulation.fulfilLater(id, 350 * MS);
        }
        return upstream;
    }

    /**
     * With one upstream in each zone and a third of the connections late, a healthy upstream was ejected after three
     * consecutive failures. As only one call in fifty was a probe, it stayed ejected for seconds while calls were rejected.
     * Therefore calls that may have more than one attempt probe it, at a rate that is limited for the whole fleet.
     */
    @Test
    void probesEjectedUpstreamsWithCallsThatWouldBeRejected() {
        int seconds = 40;
        for (boolean hangs : new boolean[] {false, true}) {
            for (int balancers : new int[] {1, 40}) {
                // With two zones and latency objectives of 400 ms, each upstream gets two probes in 800 ms, or one from
                // a single balancer. Where probes hang, each balancer sends one at a time.
                double maxProbes = Math.min(2, balancers) * seconds / 0.8;
                // In addition, one in fifty of all calls is a probe.
                double regularProbes = balancers * 4.0 * seconds / 50 / 3;
                for (String product : new String[] {"read", "mark"}) {
                    for (int probes : probesOfEjected(balancers, product, seconds, hangs)) {
                        assertTrue(
                                probes > maxProbes * 0.35 + regularProbes
                                        && probes < maxProbes * 1.3 + regularProbes * 1.4,
                                probes + " probes by " + balancers + " balancers, of which about " + regularProbes
                                        + " are regular ones");
                    }
                }
                for (int probes : probesOfEjected(balancers, "once", seconds, hangs)) {
                    assertTrue(probes <= balancers, probes + " probes by calls that may have only one attempt");
                }
            }
        }
    }

    /** Returns how many of the calls go to u1, whose behaviour is given; the other upstreams respond in 20 ms. */
    private static int callsToU1(int calls, BiConsumer<PolicySimulation, String> behaviour) {
        PolicySimulation simulation = withSixUpstreams(PolicySimulation.settings(1, 0, 1, false, Scope.ALL), 1);
        int sentToU1 = 0;
        for (int i = 0; i < calls; i++) {
            simulation.call("c" + i, "once", 1000 * MS);
            if (simulation.calls.get("c" + i).attempts.get(0).upstream.equals("u1")) {
                sentToU1++;
                behaviour.accept(simulation, "c" + i);
            } else {
                simulation.fulfilLater("c" + i, 20 * MS);
            }
            simulation.runTo(simulation.now + 10 * MS);
        }
        return sentToU1;
    }

    /**
     * Checks three faults that a count of failures alone would miss: a hung upstream causes no failure until its attempts
     * time out; an overloaded one eventually responds to each call, which would readmit it; and one that quickly fails half
     * of its calls would be readmitted by the other half and appear to be the fastest.
     */
    @Test
    void ejectsUpstreamsThatHangAreOverloadedOrFailFast() {
        int hung = callsToU1(400, (simulation, id) -> {});
        assertTrue(hung > 0 && hung < 12, hung + " calls to the hung upstream");
        int overloaded = callsToU1(3000, (simulation, id) -> simulation.fulfilLater(id, 450 * MS));
        assertTrue(overloaded > 0 && overloaded < 3, overloaded + " calls to the overloaded upstream");
        int[] attemptCount = {0};
        int failing = callsToU1(
                600,
                (simulation, id) -> simulation.schedule(
                        simulation.now + 5 * MS,
                        () -> simulation.end(id, 0, attemptCount[0]++ % 2 == 0 ? Outcome.ERROR : Outcome.FULFILLED)));
        assertTrue(failing > 10 && failing < 110, failing + " calls to the failing upstream");
    }
}
