package gorsestack.wire;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.settings.Limits;

/** Creates the limits that the tests of this package use. */
final class TestLimits {
    private TestLimits() {}

    /** Returns the limits without any settings of a customer. */
    static Limits defaults() {
        return Limits.of(machine(), new ObjectMapper().createObjectNode());
    }

    /** Returns the limits of a customer whose endpoint lists are polled ("subscribe") or pushed ("automatic"). */
    static Limits forMembershipMode(String mode) {
        ObjectNode settings = new ObjectMapper().createObjectNode().put("membershipMode", mode);
        settings.putObject("limits").put("connectTimeout", 120).put("connIdle", 30_000);
        settings.putArray("products").addObject().put("clientTimeout", 3_000).put("latencySlo", 1_000);
        return Limits.of(machine(), settings);
    }

    private static ObjectNode machine() {
        return new ObjectMapper().createObjectNode().put("sockets", 1024);
    }
}
