package gorsestack.lab.scenario;

import gorsestack.lab.scenario.Scenario.Fault;
import gorsestack.lab.shim.Shim;
import java.util.Arrays;
import java.util.List;

/** Reads and validates the faults of a scenario for {@link ScenarioReader}. Has no state. */
final class FaultReader {
    private static final double MAX_SECONDS = 3600;
    /** What may become of the state folder of a process before the process is started again. */
    private static final List<String> STATE_FOLDERS =
            List.of("kept", "lost", "truncated", "older", "unwritable", "swapped");

    private FaultReader() {}

    /**
     * Reads one [[faults]] table.
     *
     * @param number index of the fault in the scenario
     * @param seconds duration of the scenario, which limits the time of the fault
     */
    static Fault read(Section section, int number, double seconds) throws InvalidScenarioException {
        String kind = section.oneOf("kind", null, FaultKinds.all());
        String triggerPattern = section.has("when_log") ? section.text("when_log", null) : "";
        String triggerBalancer = section.has("when_log") ? section.text("when_balancer", null) : "";
        double at = section.number("at", triggerPattern.isEmpty() ? Section.REQUIRED : 0, 0, seconds);
        String from = FaultKinds.requiresFrom(kind) ? parties(section, "from") : "";
        String to = FaultKinds.LINK.contains(kind)
                ? parties(section, "to")
                : kind.equals("calls") ? systemCall(section) : "";
        double size = size(section, kind);
        Fault fault = new Fault(
                number,
                kind,
                at,
                triggerBalancer,
                triggerPattern,
                FaultKinds.hasDuration(kind) ? section.number("lasts", Section.REQUIRED, 0.01, MAX_SECONDS) : 0,
                from,
                to,
                size,
                section.number("restart_after", FaultKinds.restartsByDefault(kind) ? 0 : -1, -1, MAX_SECONDS),
                section.oneOf("state", "kept", STATE_FOLDERS),
                section.number("every", 0, 0, 600),
                section.flag("both_ways", true),
                section.flag("measured", true));
        section.rejectUnknownKeys();
        return fault;
    }

    /** Returns the size of a fault. Its meaning and range depend on the kind; it is 0 for kinds that have no size. */
    private static double size(Section section, String kind) throws InvalidScenarioException {
        return switch (kind) {
            case "delay" -> section.number("size", Section.REQUIRED, 0, 60_000);
            case "throttle" -> section.number("size", Section.REQUIRED, 1, 1e9);
            case "slow", "burst", "discovery_slow", "rude" -> section.number("size", Section.REQUIRED, 0.01, 1000);
            case "loss",
                    "duplicate",
                    "reorder",
                    "errors",
                    "spoil",
                    "answer_lost",
                    "no_length",
                    "cut",
                    "twice",
                    "closes_idle",
                    "calls" -> section.number("size", 1, 0, 1);
            case "clock" -> section.number("size", Section.REQUIRED, -1e6, 1e6);
            case "discovery_late" -> section.number("size", Section.REQUIRED, 0, 600);
            default -> 0;
        };
    }

    /** Returns the system call that fails and its error, for example {@code accept ENFILE}. */
    private static String systemCall(Section section) throws InvalidScenarioException {
        String text = section.text("call", null);
        String[] words = text.split(" ");
        boolean known = words.length == 2
                && Arrays.stream(Shim.SystemCall.values())
                        .anyMatch(call -> call.name().equalsIgnoreCase(words[0]))
                && Shim.supportsError(words[1]);
        if (!known) {
            throw section.invalid("call", "must be a system call and an error, such as accept ENFILE, not " + text);
        }
        return text;
    }

    /** Returns an expression that selects parties. docs/lab.md describes its grammar. */
    private static String parties(Section section, String key) throws InvalidScenarioException {
        String text = section.text(key, null);
        for (String term : text.split("@", -1)) {
            String plain = term.startsWith("!") ? term.substring(1) : term;
            boolean valid = plain.matches("all|balancers|upstreams|clients|discovery|front|later|[nu]\\d+|zone:.+")
                    || plain.matches("share:(0?\\.\\d+|1)")
                    || plain.matches("tier:\\d+");
            if (!valid) {
                throw section.invalid(
                        key,
                        "must be balancers, front, later, upstreams, clients, discovery, all, a name, zone:Z, tier:N or"
                                + " share:0.x, one of them after ! to select all others, or several joined by @, not "
                                + text);
            }
        }
        return text;
    }
}
