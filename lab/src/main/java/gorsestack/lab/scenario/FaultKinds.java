package gorsestack.lab.scenario;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The kinds of faults that a scenario may name, grouped by what they act on. {@link FaultReader} validates faults with them. Immutable. */
final class FaultKinds {
    /** Signals to balancer processes, and their start. */
    static final Set<String> PROCESS = Set.of("kill", "term", "stop", "hup", "start");
    /** Faults of the links between two sets of parties. */
    static final Set<String> LINK =
            Set.of("drop", "stall", "delay", "reset", "throttle", "loss", "duplicate", "reorder");

    /** Faults of upstreams and of the responses that they send. */
    static final Set<String> UPSTREAM = Set.of(
            "hang",
            "slow",
            "errors",
            "spoil",
            "crash",
            "replace",
            "answer_lost",
            "no_length",
            "cut",
            "twice",
            "closes_idle");
    /** Faults of the discovery service. */
    static final Set<String> DISCOVERY = Set.of(
            "discovery_down",
            "discovery_silent",
            "discovery_slow",
            "discovery_late",
            "discovery_half_line",
            "discovery_moves");
    /** Bursts of calls, and clients that misbehave. */
    static final Set<String> LOAD = Set.of("burst", "rude");
    /** Faults of the operating system under a balancer, which have no effect without the preloaded shim library. */
    static final Set<String> SYSTEM = Set.of("clock", "calls");

    /** Faults for which a scenario gives no duration. */
    private static final Set<String> MOMENTARY = Set.of(
            "kill",
            "term",
            "hup",
            "start",
            "crash",
            "replace",
            "discovery_half_line",
            "discovery_moves",
            "reset",
            "clock");

    /** Faults that end a process or an upstream, which by default is started again. */
    private static final Set<String> RESTARTED = Set.of("kill", "term", "crash");

    private FaultKinds() {}

    /** Returns all kinds, by group and then in alphabetical order. */
    static List<String> all() {
        return Stream.of(PROCESS, LINK, UPSTREAM, DISCOVERY, LOAD, SYSTEM)
                .flatMap(kinds -> kinds.stream().sorted())
                .toList();
    }

    /** Returns whether faults of a kind have a duration. */
    static boolean hasDuration(String kind) {
        return !MOMENTARY.contains(kind);
    }

    /** Returns whether the process or upstream that a fault of this kind ends is started again by default. */
    static boolean restartsByDefault(String kind) {
        return RESTARTED.contains(kind);
    }

    /** Returns whether the scenario has to name the parties on which faults of a kind act. */
    static boolean requiresFrom(String kind) {
        return LINK.contains(kind)
                || PROCESS.contains(kind)
                || UPSTREAM.contains(kind)
                || SYSTEM.contains(kind)
                || kind.equals("rude");
    }
}
