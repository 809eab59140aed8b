package gorsestack.invariant;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Counts violations of the program's rules, which must stay at 0, and closes, rejections and retries by reason, for the status document.
 * Owned by the event loop's thread, on which all methods are called.
 */
public final class Invariants {
    private static final System.Logger LOG = System.getLogger("gorsestack.invariants");
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<Rule, Long> violations = new EnumMap<>(Rule.class);
    private final Map<Rule, Long> loggedAt = new EnumMap<>(Rule.class);
    private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class);
    private final Map<RejectionReason, Long> rejections = new EnumMap<>(RejectionReason.class);
    private final Map<String, Long> retries = new TreeMap<>();

    /** Counts a violation, and logs it unless one of the same rule was logged within the last second. */
    public void violated(Rule rule, String callId, String reason) {
        violations.merge(rule, 1L, Long::sum);
        long now = System.nanoTime();
        Long lastLoggedAt = loggedAt.get(rule);
        if (lastLoggedAt == null || now - lastLoggedAt >= LOG_INTERVAL_NANOS) {
            loggedAt.put(rule, now);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "violation rule={0} call={1} reason={2} count={3}",
                    key(rule),
                    callId,
                    reason,
                    Long.toString(violations.get(rule)));
        }
    }

    /** Counts a client connection that was closed. */
    public void closed(CloseReason reason) {
        closes.merge(reason, 1L, Long::sum);
    }

    /** Counts an attempt or a call that was rejected. */
    public void rejected(RejectionReason reason) {
        rejections.merge(reason, 1L, Long::sum);
    }

    /** Counts a further attempt by the outcome of the attempt before it, or by a separate key if that one was still in flight. */
    public void retried(String previousOutcome) {
        retries.merge(previousOutcome, 1L, Long::sum);
    }

    /**
     * Reports the counters as keys and values: those of every rule, and the other counters that are above 0. The keys are part of the
     * status document and must not change when identifiers are renamed.
     */
    public void report(BiConsumer<String, Long> sink) {
        for (Rule rule : Rule.values()) {
            sink.accept("violations." + key(rule), violations.getOrDefault(rule, 0L));
        }
        closes.forEach((reason, count) -> sink.accept("closes." + key(reason), count));
        rejections.forEach((reason, count) -> sink.accept("refusals." + key(reason), count));
        retries.forEach((previousOutcome, count) -> sink.accept("retries." + previousOutcome, count));
    }

    private static String key(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
