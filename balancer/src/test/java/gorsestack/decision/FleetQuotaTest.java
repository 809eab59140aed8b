package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests the quota of the fleet's budgets that one process uses. */
class FleetQuotaTest {
    @Test
    void dividesOwnLocalityByBalancersOfZoneAndOthersByBalancersOfFleet() {
        FleetQuota alone = new FleetQuota(PolicySimulation.settings(1, 0, 2, false, Scope.ALL));
        assertEquals(1, alone.ofLocality(0));
        assertEquals(1, alone.ofLocality(1));
        FleetQuota many = new FleetQuota(PolicySimulation.settings(100, 0, 2, false, Scope.ALL));
        assertEquals(2.0 / 100, many.ofLocality(0), "half the balancers are in this zone");
        assertEquals(1.0 / 100, many.ofLocality(1));
    }
}
