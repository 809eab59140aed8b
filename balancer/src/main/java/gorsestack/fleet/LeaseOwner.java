package gorsestack.fleet;

/**
 * The owner of a lease, which is one process of a member. A later process of the same member is a different owner.
 *
 * @param member number of the member
 * @param incarnation number that rises with each process of the member
 */
public record LeaseOwner(int member, long incarnation) {}
