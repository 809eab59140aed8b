package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.UpstreamIdentity.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests by which signs the process at an upstream's address counts as the listed one. */
class UpstreamIdentityTest {
    private static final long LISTED_AT = 100;
    private static final long CONNECTED_AT = 150;
    private static final long LAST_BYTES_AT = 200;
    private static final long CONTACT_LOST_AT = 300;
    private static final long NOW = 400;
    private static final long SETTLING_TIME = 1000;

    private final UpstreamIdentity identity = new UpstreamIdentity();

    private void bring(State state) {
        identity.onListed(LISTED_AT);
        identity.onBytes(CONNECTED_AT, LAST_BYTES_AT);
        if (state != State.LISTED) {
            identity.onContactLost(CONTACT_LOST_AT);
        }
        if (state == State.CONFIRMED) {
            identity.onBytes(CONNECTED_AT, CONTACT_LOST_AT + 1);
        }
        assertEquals(state, identity.state());
    }

    @ParameterizedTest
    @CsvSource({
        "LISTED, LISTED, IN_DOUBT, LISTED, LISTED",
        "IN_DOUBT, LISTED, IN_DOUBT, CONFIRMED, LISTED",
        "CONFIRMED, LISTED, IN_DOUBT, CONFIRMED, CONFIRMED",
    })
    void changesStateByTheTable(
            State before, State listedAnew, State contactLost, State knownProcessResponds, State listConfirmed) {
        bring(before);
        identity.onListed(NOW);
        assertEquals(listedAnew, identity.state());
        bring(before);
        identity.onContactLost(NOW);
        assertEquals(contactLost, identity.state());
        bring(before);
        identity.onBytes(CONNECTED_AT, NOW);
        assertEquals(knownProcessResponds, identity.state());
        bring(before);
        identity.onListConfirmed(CONTACT_LOST_AT + SETTLING_TIME, SETTLING_TIME);
        assertEquals(listConfirmed, identity.state());
        assertEquals(before != State.IN_DOUBT, isKnownIn(before));
    }

    private boolean isKnownIn(State state) {
        bring(state);
        return identity.isKnown();
    }

    /** The successor at the address responds too. */
    @Test
    void isNotConfirmedByAConnectionFromAfterTheLastSignOfTheProcess() {
        bring(State.IN_DOUBT);
        identity.onBytes(LAST_BYTES_AT + 1, NOW);
        identity.onBytes(NOW - 1, NOW);
        assertFalse(identity.isKnown());
        identity.onBytes(LAST_BYTES_AT, NOW);
        assertTrue(identity.isKnown());
    }

    /** A list that is a few seconds old still names an upstream that has ended. */
    @Test
    void staysInDoubtUntilTheListWouldTellOfTheEnd() {
        bring(State.IN_DOUBT);
        identity.onListConfirmed(0, SETTLING_TIME);
        identity.onListConfirmed(CONTACT_LOST_AT + SETTLING_TIME - 1, SETTLING_TIME);
        assertFalse(identity.isKnown());
        identity.onContactLost(NOW);
        identity.onListConfirmed(CONTACT_LOST_AT + SETTLING_TIME, SETTLING_TIME);
        assertFalse(identity.isKnown(), "the last loss of contact counts");
    }
}
