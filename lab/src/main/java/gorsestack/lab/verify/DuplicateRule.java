package gorsestack.lab.verify;

import gorsestack.lab.scenario.Scenario.Product;
import gorsestack.lab.verify.Records.ClientRequest;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import java.util.List;
import java.util.function.Consumer;

/**
 * Checks the rule "dup": a request that must not be repeated is executed at most once, whether the balancer or the client retries it.
 * {@link Verifier} uses this class on the thread that verifies.
 */
final class DuplicateRule {
    private final IndexedRecords indexedRecords;
    private final Consumer<Violation> violations;

    DuplicateRule(IndexedRecords indexedRecords, Consumer<Violation> violations) {
        this.indexedRecords = indexedRecords;
        this.violations = violations;
    }

    private void report(long violatedAt, String description) {
        violations.accept(new Violation(Violation.DUPLICATE, violatedAt, description));
    }

    /** Returns whether the upstream of an attempt had, by a certain time, responded that it did not execute the attempt. */
    private static boolean provenUnprocessed(UpstreamAttempt attempt, long time) {
        return attempt.outcome().equals("unprocessed")
                && attempt.respondedAt() != Records.NEVER
                && attempt.respondedAt() <= time;
    }

    /**
     * Checks a rejected request. A rejection invites the client to retry, so it is a violation if an attempt may have been executed,
     * unless a second execution is harmless.
     */
    void checkRejection(ClientRequest request) {
        Product product = indexedRecords.product(request.product());
        boolean harmless = product.idempotent()
                || (product.deduplicated() && product.keyScope().equals("all"));
        if (harmless || !request.rejected()) {
            return;
        }
        for (UpstreamAttempt attempt : indexedRecords.attempts(request.id())) {
            if (attempt.startedAt() <= request.ended() && !provenUnprocessed(attempt, request.ended())) {
                report(
                        request.ended(),
                        "n" + request.balancer() + " called " + request.id() + " (" + request.product()
                                + ") rate-limited though u" + attempt.upstream() + " may have executed it ("
                                + attempt.outcome() + ")");
                return;
            }
        }
    }

    /** Checks the attempts of one request, ordered by their start. */
    void checkAttempts(List<UpstreamAttempt> attempts) {
        Product product = indexedRecords.product(attempts.get(0).product());
        if (product.idempotent()) {
            return;
        }
        UpstreamAttempt possiblyExecuted = null;
        for (UpstreamAttempt attempt : attempts) {
            if (possiblyExecuted == null || provenUnprocessed(possiblyExecuted, attempt.startedAt())) {
                possiblyExecuted = attempt;
            } else {
                checkRepetition(product, possiblyExecuted, attempt);
            }
        }
    }

    /** Reports an attempt after one that may have been executed, unless the idempotency key prevents a second execution. */
    private void checkRepetition(Product product, UpstreamAttempt earlier, UpstreamAttempt later) {
        String description =
                later.id() + " (" + later.product() + ") reached u" + later.upstream() + " from n" + later.balancer()
                        + " though u" + earlier.upstream() + " may have executed it (" + earlier.outcome() + ")";
        if (product.singleShot()) {
            report(later.startedAt(), description);
            return;
        }
        String earlierScope = deduplicationScope(earlier, product);
        String laterScope = deduplicationScope(later, product);
        long window = (long) (product.repeatWindow() * 1e9) + IndexedRecords.TOLERANCE_NANOS;
        if (!laterScope.equals(earlierScope) || later.startedAt() - earlier.startedAt() > window) {
            report(
                    later.startedAt(),
                    description + ", " + earlierScope + " and not " + laterScope
                            + ", or after the deduplication window");
        }
    }

    /** Returns the group of upstreams that share idempotency keys with the upstream of an attempt. */
    private static String deduplicationScope(UpstreamAttempt attempt, Product product) {
        return switch (product.keyScope()) {
            case "all" -> "all";
            case "cell" -> "cell " + attempt.cell();
            default -> "zone " + attempt.zone();
        };
    }
}
