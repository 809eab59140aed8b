package gorsestack.lab.verify;

import gorsestack.lab.verify.Records.ProcessEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The states of the balancer processes over time, derived from the process events of a run; used by {@link IndexedRecords}. */
final class ProcessTimelines {
    /** A time in nanoseconds that is after every event of a run and, negated, before every event; sums with it do not overflow. */
    private static final long DISTANT = Long.MAX_VALUE / 4;

    /** The time of an event that has not happened; earlier than all other times. */
    static final long NEVER = -DISTANT;

    private record Interval(long from, long until) {
        boolean overlaps(long otherFrom, long otherUntil) {
            return from <= otherUntil && until >= otherFrom;
        }
    }

    /** The intervals during which a process was in one state, in order; the last one may be open. */
    private static final class Intervals {
        private final List<Interval> intervals = new ArrayList<>();

        void begin(long time) {
            intervals.add(new Interval(time, DISTANT));
        }

        void end(long time) {
            int last = intervals.size() - 1;
            if (last >= 0 && intervals.get(last).until == DISTANT) {
                intervals.set(last, new Interval(intervals.get(last).from, time));
            }
        }

        boolean overlap(long from, long until) {
            return intervals.stream().anyMatch(interval -> interval.overlaps(from, until));
        }
    }

    /** The states of one balancer's process over time. */
    private static final class Timeline {
        /** The times at which the process was started. */
        private final List<Long> starts = new ArrayList<>();
        /** The intervals from a kill or crash to the next start. */
        private final Intervals down = new Intervals();
        /** The intervals from SIGSTOP to SIGCONT. */
        private final Intervals stopped = new Intervals();
        /** The intervals from SIGTERM to the next start, in which new connections may be closed without a response. */
        private final Intervals terminating = new Intervals();

        void add(ProcessEvent event) {
            switch (event.event().split(" ")[0]) {
                case "kill", "crash" -> down.begin(event.at());
                case "term" -> terminating.begin(event.at());
                case "stop" -> stopped.begin(event.at());
                case "cont" -> stopped.end(event.at());
                case "start" -> {
                    starts.add(event.at());
                    down.end(event.at());
                    stopped.end(event.at());
                    terminating.end(event.at());
                }
                default -> {}
            }
        }
    }

    private static final Timeline EMPTY = new Timeline();
    private final Map<Integer, Timeline> timelines = new HashMap<>();

    ProcessTimelines(List<ProcessEvent> events) {
        events.forEach(event -> timelines
                .computeIfAbsent(event.balancer(), balancer -> new Timeline())
                .add(event));
    }

    private Timeline timeline(int balancer) {
        return timelines.getOrDefault(balancer, EMPTY);
    }

    /** Returns whether a balancer was down or stopped at any time in an interval, so that it could not respond. */
    boolean unavailable(int balancer, long from, long until, long tolerance) {
        return timeline(balancer).down.overlap(from - tolerance, until + tolerance)
                || stopped(balancer, from - tolerance, until);
    }

    /** Returns whether a balancer was stopped by SIGSTOP at any time in an interval. */
    boolean stopped(int balancer, long from, long until) {
        return timeline(balancer).stopped.overlap(from, until);
    }

    /** Returns whether a balancer was terminating at any time in an interval. */
    boolean terminating(int balancer, long from, long until) {
        return timeline(balancer).terminating.overlap(from, until);
    }

    /** Returns the last start of a balancer that is not after a time, or NEVER. */
    long lastStart(int balancer, long time) {
        return timeline(balancer).starts.stream()
                .filter(start -> start <= time)
                .mapToLong(start -> start)
                .max()
                .orElse(NEVER);
    }

    /**
     * Returns when a balancer could process what it received at a time. This is the time itself, or the end of the last SIGSTOP interval
     * that delayed the processing and began no later than {@code until}.
     */
    long processedAt(int balancer, long receivedAt, long until) {
        long processed = receivedAt;
        for (Interval stop : timeline(balancer).stopped.intervals) {
            if (stop.overlaps(processed, until)) {
                processed = Math.max(processed, stop.until);
            }
        }
        return processed;
    }
}
