package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import org.junit.jupiter.api.Test;

/** Tests how many retries and hedged requests the budget allows after a number of successful responses. */
class RetryBudgetTest {
    private static CallState call() {
        return new CallState("c", 1, PolicySimulation.product("p", Repeat.IDEMPOTENT, Scope.ALL));
    }

    @Test
    void costsNothingWhileNoAttemptMayHaveExecuted() {
        CallState call = call();
        RetryBudget budget = new RetryBudget();
        assertEquals(0, budget.cost(call));
        call.addAttempt(new CallAttempt(new UpstreamState(0), 0));
        call.attempt(0).neverExecuted = true;
        assertEquals(0, budget.cost(call));
        assertTrue(budget.covers(budget.cost(call)), "an empty budget covers a cost of 0");
    }

    @Test
    void coversRetryAfterTenResponsesAndHedgeAfterThirtyFour() {
        CallState call = call();
        call.addAttempt(new CallAttempt(new UpstreamState(0), 0));
        RetryBudget budget = new RetryBudget();
        double hedgeCost = budget.cost(call);
        call.attemptsInFlight = 0;
        double retryCost = budget.cost(call);
        int responses = 0;
        while (!budget.covers(retryCost)) {
            budget.onResponse();
            responses++;
        }
        // The sum of ten times 0.03 may be rounded to slightly less than 0.3.
        assertTrue(responses == 10 || responses == 11, "number of responses that pay for a retry: " + responses);
        while (!budget.covers(hedgeCost)) {
            budget.onResponse();
            responses++;
        }
        assertTrue(responses == 34, "number of responses that pay for a hedge: " + responses);
        budget.spend(hedgeCost);
        assertFalse(budget.covers(retryCost));
    }

    @Test
    void accumulatesAtMostTenHedges() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 10_000; i++) {
            budget.onResponse();
        }
        assertTrue(budget.covers(10));
        assertFalse(budget.covers(10.1));
    }
}
