package gorsestack.lab.run;

import gorsestack.lab.net.Link;
import gorsestack.lab.scenario.Scenario.Fault;
import gorsestack.lab.standin.Testbed;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Injects faults into the links between two sets of parties, including links that are created during the fault. {@link FaultInjector}
 * delegates the kinds of faults that act on links to this class. Confined to the event loop.
 */
final class LinkFaults {
    /** The kinds of faults that this class can inject. */
    static final List<String> KINDS =
            List.of("drop", "stall", "delay", "reset", "throttle", "loss", "duplicate", "reorder");

    private final Testbed testbed;
    private final PartySelector parties;
    private final long seed;

    LinkFaults(Testbed testbed, PartySelector parties, long seed) {
        this.testbed = testbed;
        this.parties = parties;
        this.seed = seed;
    }

    /** Begins a fault and schedules its end; returns the set of affected links, to which later links are added. */
    Set<String> inject(Fault fault, Set<String> from) {
        Set<String> selectedTo = parties.select(fault.to(), seed * 37 + fault.number());
        Injection injection = new Injection(fault, matching(fault.from(), from), matching(fault.to(), selectedTo));
        testbed.links.between(injection.from, injection.to).forEach(injection::apply);
        if (!fault.kind().equals("reset")) {
            Runnable stopListening = testbed.links.onNewLink(injection::apply);
            testbed.after((long) (fault.duration() * 1e9), () -> {
                stopListening.run();
                injection.endTasks.forEach(Runnable::run);
            });
        }
        return injection.links;
    }

    /** Returns what an expression matches. An expression that draws no random fraction also matches parties that do not exist yet. */
    private Predicate<String> matching(String expression, Set<String> selected) {
        return PartySelector.drawsFraction(expression) ? selected::contains : parties.matching(expression);
    }

    /** One fault and the links that it affects. */
    private static final class Injection {
        private final Fault fault;
        private final Predicate<String> from;
        private final Predicate<String> to;
        private final Set<String> links = new TreeSet<>();
        /** The tasks that end the fault on each link. */
        private final List<Runnable> endTasks = new ArrayList<>();

        Injection(Fault fault, Predicate<String> from, Predicate<String> to) {
            this.fault = fault;
            this.from = from;
            this.to = to;
        }

        /** Begins the fault on a link if the link connects the two sets of parties. */
        void apply(Link link) {
            boolean forward = from.test(link.from) && to.test(link.to);
            boolean backward = from.test(link.to) && to.test(link.from);
            if (!forward && !backward) {
                return;
            }
            links.add(link.from + ">" + link.to);
            if (forward || fault.bothDirections()) {
                endTasks.add(impair(link, link.forward));
            }
            if (backward || fault.bothDirections()) {
                endTasks.add(impair(link, link.backward));
            }
        }

        /** Begins the fault in one direction of a link and returns the task that ends it. */
        private Runnable impair(Link link, Link.Direction direction) {
            switch (fault.kind()) {
                case "drop" -> {
                    link.drop(direction, true);
                    return () -> link.drop(direction, false);
                }
                case "stall" -> {
                    link.stall(direction, true);
                    return () -> link.stall(direction, false);
                }
                case "reset" -> {
                    link.reset();
                    return () -> {};
                }
                case "delay" -> {
                    direction.delayMs = fault.size();
                    direction.jitterMs = fault.size() / 2;
                    return () -> {
                        direction.delayMs = 0;
                        direction.jitterMs = 0;
                        link.changed();
                    };
                }
                case "throttle" -> {
                    direction.bytesPerSecond = fault.size();
                    return () -> direction.bytesPerSecond = Double.POSITIVE_INFINITY;
                }
                case "loss" -> {
                    direction.loss = fault.size();
                    return () -> direction.loss = 0;
                }
                case "duplicate" -> {
                    direction.duplicate = fault.size();
                    return () -> direction.duplicate = 0;
                }
                case "reorder" -> {
                    direction.reorder = fault.size();
                    return () -> direction.reorder = 0;
                }
                default -> throw new IllegalStateException("not a kind of link fault: " + fault.kind());
            }
        }
    }
}
