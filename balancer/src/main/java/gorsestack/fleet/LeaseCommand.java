package gorsestack.fleet;

/**
 * An operation on a lease, as it is proposed to the Raft group, stored in the replicated log and applied by {@link LeaseTable}. It carries
 * the process that requested it and that process's number for the request, by which a process recognizes its own commands. Immutable.
 */
public sealed interface LeaseCommand {
    /** Returns the name of the lease. */
    String leaseName();

    /** Returns the process that requested the operation. */
    LeaseOwner requester();

    /** Returns the number that the requester has given to the request. */
    long requestId();

    /**
     * Acquires a lease under a new epoch, unless its entry has changed since the request.
     *
     * @param expectedVersion version of the entry at the time of the request
     * @param duration duration of the lease, in nanoseconds
     * @param minEpoch lower bound of the new epoch
     */
    record Acquire(
            String leaseName, LeaseOwner requester, long requestId, long expectedVersion, long duration, long minEpoch)
            implements LeaseCommand {}

    /**
     * Renews a lease that the requester owns under the given epoch.
     *
     * @param elapsedSinceGrant time from the owner's request for its previous grant to this request, by the owner's clock, in nanoseconds
     * @param grantedVersion version of the entry after the owner's previous grant
     */
    record Renew(
            String leaseName,
            LeaseOwner requester,
            long requestId,
            long epoch,
            long elapsedSinceGrant,
            long grantedVersion)
            implements LeaseCommand {}

    /** Releases a lease. Its owner requests no further effects under that epoch. */
    record Release(String leaseName, LeaseOwner requester, long requestId, long epoch) implements LeaseCommand {}

    /**
     * Records work that consists of several steps before its first step is done, so that a later owner can finish it.
     *
     * @param workId identifier of the work
     * @param description everything that a later owner needs to finish the work
     */
    record BeginWork(
            String leaseName, LeaseOwner requester, long requestId, long epoch, String workId, String description)
            implements LeaseCommand {}

    /** Removes the record of work whose steps are all done. */
    record FinishWork(String leaseName, LeaseOwner requester, long requestId, long epoch, String workId)
            implements LeaseCommand {}
}
