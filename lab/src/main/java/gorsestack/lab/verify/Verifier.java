package gorsestack.lab.verify;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.verify.Records.ClientDisconnect;
import gorsestack.lab.verify.Records.ClientRequest;
import gorsestack.lab.verify.Records.SlowStartOverload;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Checks whether a fleet complied with the four rules, which {@link Violation} lists, based on what clients, upstreams and discovery
 * observed; reports of the balancers themselves are not used. A result is computed from one verifier on a single thread, either after a run
 * or from stored records.
 */
public final class Verifier {
    /** The party that misbehaving clients belong to, which is part of the names of their links. */
    public static final String MISBEHAVING_CLIENTS = "clients-rude";

    private final Records records;
    private final IndexedRecords indexedRecords;
    private final List<Violation> violations = new ArrayList<>();
    private final ResponseRule responses;
    private final DuplicateRule duplicates;
    private final DrainRule drains;

    /** Creates a verifier of the records of one run. */
    public Verifier(Scenario scenario, Records records) {
        this.records = records;
        indexedRecords = new IndexedRecords(scenario, records);
        responses = new ResponseRule(indexedRecords, violations::add);
        duplicates = new DuplicateRule(indexedRecords, violations::add);
        drains = new DrainRule(indexedRecords, violations::add);
    }

    /** Checks all rules and returns this verifier; called once. */
    public Verifier verify() {
        records.clientRequests.forEach(this::checkRequest);
        records.extraResponses.forEach(responses::checkExtraResponse);
        records.clientDisconnects.forEach(
                disconnect -> responses.checkAttemptsAfterDisconnect(disconnect, MISBEHAVING_CLIENTS));
        records.clientRequests.stream()
                .filter(request -> request.outcome().equals("left"))
                .forEach(this::checkAbandonedRequest);
        records.misbehavingClientViolations.forEach(responses::checkMisbehavingClient);
        indexedRecords.attemptsByRequest().forEach(duplicates::checkAttempts);
        records.upstreamAttempts.forEach(drains::check);
        records.slowStartOverloads.forEach(this::reportSlowStartOverload);
        violations.sort(Comparator.comparingLong(Violation::at));
        return this;
    }

    private void checkRequest(ClientRequest request) {
        responses.checkResponse(request);
        if (request.hasStatus()) {
            duplicates.checkRejection(request);
            responses.checkAttemptsAfterResponse(request);
        }
    }

    private void checkAbandonedRequest(ClientRequest request) {
        responses.checkAttemptsAfterDisconnect(
                new ClientDisconnect(request.id(), request.balancer(), request.ended()), request.party());
    }

    private void reportSlowStartOverload(SlowStartOverload overload) {
        violations.add(new Violation(
                Violation.OVERLOAD,
                overload.at(),
                "u" + overload.upstream() + ", in slow start, was offered " + Math.round(overload.offered())
                        + " ms of work, with a capacity of " + Math.round(overload.capacity())));
    }

    /** Returns all violations, ordered by time. */
    public List<Violation> violations() {
        return violations;
    }

    /**
     * Returns the number of cases in which a balancer owed a correct response in time and did not send it, including those of misbehaving
     * clients. A response that is both late and incorrect counts twice.
     */
    public int lostCalls() {
        return responses.lostCalls();
    }
}
