package gorsestack.lab.run;

import gorsestack.lab.process.BalancerFleet;
import gorsestack.lab.scenario.Scenario.Fault;
import gorsestack.lab.shim.Shim;
import gorsestack.lab.standin.Discovery;
import gorsestack.lab.standin.LoadGenerator;
import gorsestack.lab.standin.MisbehavingClients;
import gorsestack.lab.standin.ResponseAnomaly;
import gorsestack.lab.standin.Testbed;
import gorsestack.lab.standin.Upstream;
import gorsestack.lab.standin.UpstreamPool;
import gorsestack.lab.verify.Records.InjectedFault;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntConsumer;
import java.util.function.ObjDoubleConsumer;
import java.util.regex.Pattern;

/**
 * Injects the faults of a scenario and ends them. A fault begins at its time or, if it has a pattern, once from that time on a line in a
 * balancer's log matches the pattern, even if the line is older. {@link ScenarioRun} creates an injector when the load starts. Confined to
 * the event loop.
 */
final class FaultInjector {
    private static final long LOG_POLL_INTERVAL_NANOS = 20_000_000L;

    /** Begins one kind of fault and, if it has a duration, schedules its end. */
    private interface Injection {
        /** Begins a fault of the selected parties and, if it has a duration, schedules its end; returns the affected parties or links. */
        Set<String> inject(Fault fault, Set<String> selected);
    }

    /** Begins one kind of fault of numbered balancers or upstreams and, if it has a duration, schedules its end. */
    private interface NumberedInjection {
        void inject(Fault fault, List<Integer> numbers);
    }

    /** Changes the operating system faults of one balancer, which is identified by its log. */
    private interface SystemFault {
        void apply(Path log) throws IOException;
    }

    private final Testbed testbed;
    private final UpstreamPool upstreams;
    private final Discovery discovery;
    private final LoadGenerator clients;
    private final BalancerFleet fleet;
    private final PartySelector parties;
    private final MisbehavingClients misbehavingClients;
    private final long seed;
    private final Map<String, Injection> injections = new HashMap<>();

    FaultInjector(
            Testbed testbed,
            UpstreamPool upstreams,
            Discovery discovery,
            LoadGenerator clients,
            BalancerFleet fleet,
            long seed) {
        this.testbed = testbed;
        this.upstreams = upstreams;
        this.discovery = discovery;
        this.clients = clients;
        this.fleet = fleet;
        this.seed = seed;
        parties = new PartySelector(testbed, upstreams);
        misbehavingClients = new MisbehavingClients(testbed);
        LinkFaults linkFaults = new LinkFaults(testbed, parties, seed);
        LinkFaults.KINDS.forEach(kind -> injections.put(kind, linkFaults::inject));
        registerProcessFaults();
        registerSystemFaults();
        registerUpstreamFaults();
        registerLoadFaults();
        registerDiscoveryFaults();
    }

    private static long nanos(double seconds) {
        return (long) (seconds * 1e9);
    }

    /** Schedules all faults of the scenario; called once, when the load starts. */
    void schedule() {
        for (Fault fault : testbed.scenario.faults()) {
            boolean timed = fault.triggerPattern().isEmpty();
            testbed.at(nanos(fault.at()), timed ? () -> begin(fault) : () -> watchLog(fault));
        }
    }

    private void watchLog(Fault fault) {
        int balancer = Integer.parseInt(fault.triggerBalancer().substring(1));
        LogTail log = new LogTail(fleet.balancers.get(balancer).log());
        pollLog(fault, log, Pattern.compile(fault.triggerPattern()));
    }

    private void pollLog(Fault fault, LogTail log, Pattern pattern) {
        if (log.newLines().stream().anyMatch(line -> pattern.matcher(line).find())) {
            begin(fault);
        } else {
            testbed.after(LOG_POLL_INTERVAL_NANOS, () -> pollLog(fault, log, pattern));
        }
    }

    private void begin(Fault fault) {
        Injection injection = injections.get(fault.kind());
        if (injection == null) {
            throw new IllegalStateException("unknown kind of fault: " + fault.kind());
        }
        long now = testbed.now();
        Set<String> selected =
                fault.from().isEmpty() ? Set.of() : parties.select(fault.from(), seed * 31 + fault.number());
        Set<String> targets = injection.inject(fault, selected);
        testbed.records.injectedFaults.add(new InjectedFault(
                fault.number(),
                fault.label(),
                now,
                now + nanos(fault.duration()),
                List.copyOf(targets),
                fault.measured()));
    }

    private void register(String kind, NumberedInjection injection) {
        injections.put(kind, (fault, selected) -> {
            injection.inject(fault, PartySelector.numbers(selected));
            return selected;
        });
    }

    private void registerProcessFaults() {
        register("kill", (fault, balancers) -> endProcesses("KILL", fault, balancers));
        register("term", (fault, balancers) -> endProcesses("TERM", fault, balancers));
        register("start", (fault, balancers) -> fleet.start(balancers));
        register("hup", (fault, balancers) -> fleet.signal("HUP", balancers));
        register(
                "stop",
                (fault, balancers) -> forDuration(
                        fault, () -> fleet.signal("STOP", balancers), () -> fleet.signal("CONT", balancers)));
    }

    private void registerSystemFaults() {
        register(
                "clock",
                (fault, balancers) -> applySystemFault(balancers, log -> Shim.setClockOffset(log, fault.size())));
        register("calls", (fault, balancers) -> {
            String[] words = fault.to().split(" ");
            Shim.SystemCall call = Shim.SystemCall.valueOf(words[0].toUpperCase(Locale.ROOT));
            forDuration(
                    fault,
                    () -> applySystemFault(balancers, log -> Shim.fail(log, call, words[1], fault.size())),
                    () -> applySystemFault(balancers, log -> Shim.fail(log, call, words[1], 0)));
        });
    }

    private void applySystemFault(List<Integer> balancers, SystemFault systemFault) {
        try {
            for (int balancer : balancers) {
                systemFault.apply(fleet.balancers.get(balancer).log());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "cannot write the control file of a shim, so the faults of its process remain unchanged", e);
        }
    }

    private void registerUpstreamFaults() {
        register(
                "hang",
                (fault, numbers) ->
                        forDuration(fault, () -> setHanging(numbers, true), () -> setHanging(numbers, false)));
        registerUpstreamSetting("slow", Upstream::setSlowdown, 1);
        registerUpstreamSetting("errors", Upstream::setErrors, 0);
        registerUpstreamSetting("spoil", Upstream::setMalformedResponses, 0);
        registerUpstreamSetting("answer_lost", Upstream::setLostResponses, 0);
        for (String kind : List.of("no_length", "cut", "twice", "closes_idle")) {
            ResponseAnomaly anomaly = ResponseAnomaly.of(kind);
            registerUpstreamSetting(kind, (upstream, fraction) -> upstream.setAnomaly(anomaly, fraction), 0);
        }
        register(
                "crash",
                (fault, numbers) ->
                        stagger(fault, numbers, number -> crash(upstreams.all.get(number), fault.restartDelay())));
        register("replace", (fault, numbers) -> stagger(fault, numbers, number -> replace(upstreams.all.get(number))));
    }

    private void setHanging(List<Integer> numbers, boolean hanging) {
        numbers.forEach(number -> upstreams.all.get(number).setHanging(hanging));
    }

    /** Registers a fault that sets a property of upstreams to the fault's size, and at its end back to the normal value. */
    private void registerUpstreamSetting(String kind, ObjDoubleConsumer<Upstream> setting, double normalValue) {
        register(
                kind,
                (fault, numbers) -> forDuration(
                        fault,
                        () -> numbers.forEach(number -> setting.accept(upstreams.all.get(number), fault.size())),
                        () -> numbers.forEach(number -> setting.accept(upstreams.all.get(number), normalValue))));
    }

    private void registerLoadFaults() {
        register(
                "rude",
                (fault, balancers) -> forDuration(
                        fault, () -> misbehavingClients.start(balancers, fault.size()), misbehavingClients::stop));
        register(
                "burst",
                (fault, unused) -> forDuration(fault, () -> clients.setBurst(fault.size()), () -> clients.setBurst(1)));
    }

    private void registerDiscoveryFaults() {
        register(
                "discovery_down",
                (fault, unused) -> forDuration(fault, () -> discovery.setDown(true), () -> discovery.setDown(false)));
        register(
                "discovery_silent",
                (fault, unused) ->
                        forDuration(fault, () -> discovery.setSilent(true), () -> discovery.setSilent(false)));
        double callsPerSecond = testbed.scenario.discovery().callsPerSecond();
        register(
                "discovery_slow",
                (fault, unused) -> forDuration(
                        fault,
                        () -> discovery.setCallsPerSecond(fault.size()),
                        () -> discovery.setCallsPerSecond(callsPerSecond)));
        double propagationDelay = testbed.scenario.discovery().propagationDelay();
        register(
                "discovery_late",
                (fault, unused) -> forDuration(
                        fault,
                        () -> discovery.setPropagationDelay(fault.size()),
                        () -> discovery.setPropagationDelay(propagationDelay)));
        register("discovery_half_line", (fault, unused) -> discovery.sendPartialLine());
        register("discovery_moves", (fault, unused) -> moveDiscovery());
    }

    private void moveDiscovery() {
        discovery.moveAddress();
        fleet.signal("HUP", PartySelector.numbers(new TreeSet<>(parties.balancers())));
    }

    /** Runs one task now and another at the end of the fault. */
    private void forDuration(Fault fault, Runnable begin, Runnable end) {
        begin.run();
        testbed.after(nanos(fault.duration()), end);
    }

    /** Applies an action to one party after another, at the interval of the fault. */
    private void stagger(Fault fault, List<Integer> numbers, IntConsumer action) {
        for (int i = 0; i < numbers.size(); i++) {
            int number = numbers.get(i);
            testbed.after(nanos(fault.interval()) * i, () -> action.accept(number));
        }
    }

    /** Sends a signal that ends balancers, one after another if the fault has an interval, and restarts them if it has a restart delay. */
    private void endProcesses(String signal, Fault fault, List<Integer> balancers) {
        if (fault.interval() > 0) {
            stagger(fault, balancers, balancer -> endTogether(signal, fault, List.of(balancer)));
        } else {
            endTogether(signal, fault, balancers);
        }
    }

    private void endTogether(String signal, Fault fault, List<Integer> balancers) {
        fleet.signal(signal, balancers);
        if (fault.restartDelay() >= 0) {
            testbed.after(nanos(fault.restartDelay()), () -> {
                fleet.changeState(fault.state(), balancers);
                fleet.start(balancers);
            });
        }
    }

    /**
     * Crashes an upstream, and restarts it if there is a restart delay. Discovery publishes the crash after its failure detection delay if
     * the upstream is still down.
     */
    private void crash(Upstream upstream, double restartDelay) {
        upstream.crash();
        testbed.after(nanos(testbed.scenario.discovery().failureDetectionDelay()), () -> {
            if (!upstream.up()) {
                discovery.publish(upstream, Discovery.TERMINATED);
            }
        });
        if (restartDelay >= 0) {
            testbed.after(nanos(restartDelay), () -> {
                upstream.restart();
                discovery.publish(upstream, Discovery.IN_SERVICE);
            });
        }
    }

    /** Replaces an upstream by a new one that begins in slow start; the old one drains and then terminates. */
    private void replace(Upstream old) {
        Upstream replacement = upstreams.addReplacement(old);
        discovery.publish(replacement, Discovery.IN_SERVICE);
        discovery.publish(old, Discovery.TERMINATING);
        old.drain();
        double grace =
                testbed.scenario.rules().drainGrace() + testbed.scenario.rules().notificationDeadline();
        testbed.after(nanos(grace), () -> {
            discovery.publish(old, Discovery.TERMINATED);
            old.crash();
        });
    }
}
