package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.Settings;
import gorsestack.invariant.Invariants;
import gorsestack.settings.Limits;
import gorsestack.settings.SettingsReader;
import gorsestack.wire.BufferBudget;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Tests the checks of what was written to upstreams. */
class AttemptAuditorTest {
    private static final String SETTINGS = """
        {"products":[{"name":"product","clientTimeout":3000,"latencySlo":1000,"semantics":"guarded","keyScope":"cell",
          "repeatWindow":5000}]}""";

    private final CallFixture fixture = new CallFixture();
    private final Invariants invariants = new Invariants();
    private final ActiveCall call = new ActiveCall("c", fixture.client(), CallFixture.request("c"), false);

    private static Endpoint endpoint(int cell) {
        return new Endpoint("u" + cell, EndpointState.READY, 0, OptionalInt.of(cell), 1, "", Optional.of("a"));
    }

    /** Returns the auditor of a balancer whose endpoint list is empty. */
    private AttemptAuditor auditor() throws IOException {
        ObjectMapper json = new ObjectMapper();
        Settings settings = SettingsReader.read(json.readTree(SETTINGS));
        Limits limits = Limits.of(json.readTree("{\"sockets\":1024}"), json.readTree(SETTINGS));
        UpstreamConnectionPool pool = new UpstreamConnectionPool(null, limits, fixture, new BufferBudget(limits));
        return new AttemptAuditor(invariants, new ProductTable(settings.products()), pool, 0);
    }

    private UpstreamAttempt attempt(int cell) {
        UpstreamAttempt attempt = fixture.attempt(call, endpoint(cell));
        call.attemptStarted(attempt);
        return attempt;
    }

    private long violations() {
        Map<String, Long> counters = new HashMap<>();
        invariants.report(counters::put);
        return counters.get("violations.repeat");
    }

    /** The check was silent in the second review's case 6: it asked the list for the first upstream, which had left it by then. */
    @Test
    void reportsRepeatInAnotherCellAlsoIfTheFirstUpstreamHasLeftTheList() throws IOException {
        attempt(1);
        auditor().checkSent(attempt(1), 1);
        assertEquals(0, violations());
        auditor().checkSent(attempt(0), 1);
        assertEquals(2, violations(), "one for each earlier attempt");
    }
}
