package gorsestack.lab.soak;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * A disturbance of a soak run, drawn by {@link Schedule}. Immutable.
 *
 * @param name description for reports
 * @param faults [[faults]] tables of a scenario file that cause the disturbance
 */
public record Disturbance(String name, String faults) {
    /** Maximum duration of a disturbance, in seconds. */
    static final double MAX_DURATION = 6;

    private static final List<Function<Draw, Disturbance>> KINDS = List.of(
            draw -> draw.once("sigterm", "term", "front@share:0.2", "every = 0.3"),
            draw -> draw.once(
                    "sigkill",
                    "kill",
                    "front@share:0.3",
                    "restart_after = 0.3\nstate = \"" + draw.of("kept", "lost", "truncated") + "\""),
            draw -> draw.lasting("sigstop short", "stop", "front@share:0.4", 0.15, ""),
            draw -> draw.lasting("sigstop long", "stop", "front@share:0.2", draw.between(1, 5), ""),
            draw -> draw.repeated("sighup in quick succession", 3, 0.05, "hup", "front"),
            draw -> draw.lasting("discovery down", "discovery_down", "", draw.between(1, MAX_DURATION), ""),
            draw -> draw.lasting("discovery silent", "discovery_silent", "", draw.between(1, MAX_DURATION), ""),
            draw -> draw.lasting(
                    "discovery overloaded", "discovery_slow", "", draw.between(1, MAX_DURATION), "size = 1.5"),
            draw -> draw.lasting("discovery late", "discovery_late", "", draw.between(1, MAX_DURATION), "size = 2"),
            draw -> draw.once("discovery sends half a line", "discovery_half_line", "", ""),
            draw -> draw.once("discovery moves", "discovery_moves", "", ""),
            draw -> draw.once("upstreams drain", "replace", "upstreams@share:0.4", "every = 0.2"),
            draw -> draw.once(
                    "upstreams crash", "crash", "upstreams@share:0.3", "restart_after = " + draw.number(0.2, 3)),
            draw -> draw.lasting("upstreams hang", "hang", "upstreams@share:0.3", draw.between(1, MAX_DURATION), ""),
            draw -> draw.lasting(
                    "upstreams fail", "errors", "upstreams@share:0.4", draw.between(1, MAX_DURATION), "size = 0.5"),
            draw -> draw.lasting(
                    "responses corrupted", "spoil", "upstreams@share:0.4", draw.between(1, MAX_DURATION), "size = 0.3"),
            draw -> draw.lasting(
                    "responses lost",
                    "answer_lost",
                    "upstreams@share:0.4",
                    draw.between(1, MAX_DURATION),
                    "size = 0.3"),
            draw -> draw.lasting(
                    "responses without a length",
                    "no_length",
                    "upstreams",
                    draw.between(2, MAX_DURATION),
                    "size = 0.5"),
            draw -> draw.lasting(
                    "responses truncated", "cut", "upstreams@share:0.5", draw.between(2, MAX_DURATION), "size = 0.3"),
            draw -> draw.lasting(
                    "responses sent twice",
                    "twice",
                    "upstreams@share:0.5",
                    draw.between(2, MAX_DURATION),
                    "size = 0.3"),
            draw -> draw.lasting(
                    "connections closed after responses",
                    "closes_idle",
                    "upstreams",
                    draw.between(2, MAX_DURATION),
                    "size = 0.5"),
            draw -> draw.lasting(
                    "link drops one way",
                    "drop",
                    "front@share:0.3",
                    draw.between(1, 4),
                    "to = \"upstreams@share:0.4\"\nboth_ways = false"),
            draw -> draw.lasting(
                    "link slow",
                    "delay",
                    "front@share:0.5",
                    draw.between(1, MAX_DURATION),
                    "to = \"upstreams\"\nsize = 40"),
            draw -> draw.once("links reset", "reset", "front", "to = \"upstreams\""),
            draw -> draw.lasting("burst", "burst", "", draw.between(1, 4), "size = 3"),
            draw -> draw.lasting("misbehaving clients", "rude", "front", MAX_DURATION, "size = 30"),
            draw -> draw.once(
                    "wall clocks of some processes set",
                    "clock",
                    "front@share:0.3",
                    "size = " + draw.of("-3600", "-7", "7", "3600")),
            draw -> draw.systemCalls("accept", "ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS"),
            draw -> draw.systemCalls("socket", "EMFILE", "ENFILE", "ENOBUFS"),
            draw -> draw.systemCalls("connect", "EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "EHOSTUNREACH"),
            draw -> draw.systemCalls("read", "ENOBUFS", "ENOMEM", "EINTR", "SHORT"),
            draw -> draw.systemCalls("write", "ENOBUFS", "ENOMEM", "EINTR", "SHORT"),
            draw -> draw.systemCalls("epoll", "EINTR"),
            draw -> draw.systemCalls("file_write", "ENOSPC", "EIO", "SHORT"),
            draw -> draw.systemCalls("fsync", "EIO", "ENOSPC"),
            draw -> draw.systemCalls("rename", "EIO", "ENOSPC"));

    /** Returns the number of kinds that can be drawn. */
    static int kinds() {
        return KINDS.size();
    }

    /**
     * Draws a disturbance.
     *
     * @param kind index of the kind
     * @param startTime time in the run at which the disturbance begins, in seconds
     */
    static Disturbance draw(int kind, SplittableRandom random, double startTime) {
        return KINDS.get(kind).apply(new Draw(random, startTime));
    }

    /** The random choices for one disturbance, and its start in seconds. */
    private record Draw(SplittableRandom random, double startTime) {
        double between(double min, double max) {
            return min + (max - min) * random.nextDouble();
        }

        String number(double min, double max) {
            return format(between(min, max));
        }

        String of(String... words) {
            return words[random.nextInt(words.length)];
        }

        private static String format(double number) {
            return String.format(Locale.ROOT, "%.2f", number);
        }

        private static String fault(double startTime, String kind, String from, String furtherKeys) {
            return "[[faults]]\nkind = \"" + kind + "\"\nat = " + format(startTime) + "\n"
                    + (from.isEmpty() ? "" : "from = \"" + from + "\"\n")
                    + (furtherKeys.isEmpty() ? "" : furtherKeys + "\n");
        }

        Disturbance once(String name, String kind, String from, String furtherKeys) {
            return new Disturbance(name, fault(startTime, kind, from, furtherKeys));
        }

        Disturbance lasting(String name, String kind, String from, double duration, String furtherKeys) {
            String keys = "lasts = " + format(duration) + (furtherKeys.isEmpty() ? "" : "\n" + furtherKeys);
            return once(name, kind, from, keys);
        }

        Disturbance repeated(String name, int times, double interval, String kind, String from) {
            StringBuilder faults = new StringBuilder();
            for (int i = 0; i < times; i++) {
                faults.append(fault(startTime + interval * i, kind, from, ""));
            }
            return new Disturbance(name, faults.toString());
        }

        Disturbance systemCalls(String call, String... errors) {
            String error = of(errors);
            return once(
                    call + " " + error,
                    "calls",
                    "front@share:0.5",
                    "call = \"" + call + " " + error + "\"\nsize = " + number(0.1, 0.6) + "\nlasts = "
                            + number(0.3, 2));
        }
    }
}
