package gorsestack.lab.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** The part of a run over which the metric of an invariant is computed. Scenarios and results contain the names in lower case. */
public enum Period {
    /** The whole run. */
    ALL,
    /** The time until the first measured fault. */
    BEFORE,
    /** The 30 seconds after the start of the first measured fault. */
    AFTER,
    /** The last 10 seconds of the run. */
    END;

    /** Returns the name of the period in scenarios and results. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the period with a name of a scenario. */
    public static Period of(String key) {
        return valueOf(key.toUpperCase(Locale.ROOT));
    }

    static List<String> keys() {
        return Arrays.stream(values()).map(Period::key).toList();
    }
}
