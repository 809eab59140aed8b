package gorsestack.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state machine: the owner, epoch and unfinished work of each lease. Each {@link ConsensusNode} applies the committed
 * commands in log order, so the state is the same at all members. The table knows no time: the members that wait for a lease decide whether
 * it has expired. Not thread-safe.
 */
public final class LeaseTable {
    /** Maximum number of unfinished pieces of work of one lease. Commands that begin more change nothing. */
    static final int MAX_UNFINISHED_WORK = 64;

    /**
     * The state of one lease.
     *
     * @param version number that rises with each change
     * @param owner owner of the lease, or null if it was released or never acquired
     * @param epoch highest epoch so far, which is the fencing token of the owner's effects
     * @param duration duration of the lease, in nanoseconds
     * @param unfinishedWork descriptions of the unfinished work, by its identifier
     */
    public record Entry(long version, LeaseOwner owner, long epoch, long duration, Map<String, String> unfinishedWork) {
        static final Entry NONE = new Entry(0, null, 0, 0, Map.of());

        private Entry next(LeaseOwner newOwner, long newEpoch, long newDuration, Map<String, String> newWork) {
            return new Entry(version + 1, newOwner, newEpoch, newDuration, newWork);
        }

        private Entry withWork(Map<String, String> newWork) {
            return next(owner, epoch, duration, newWork);
        }

        private boolean isOwnedBy(LeaseOwner requester, long requestedEpoch) {
            return requester.equals(owner) && requestedEpoch == epoch;
        }
    }

    private final Map<String, Entry> entries = new TreeMap<>();

    /** Returns the state of a lease. The entry of a lease that was never acquired has version 0. */
    public Entry entry(String leaseName) {
        return entries.getOrDefault(leaseName, Entry.NONE);
    }

    /** Returns a copy of the whole state, for a snapshot. */
    public Map<String, Entry> entries() {
        return new TreeMap<>(entries);
    }

    /** Replaces the whole state with a snapshot. */
    public void restore(Map<String, Entry> snapshot) {
        entries.clear();
        entries.putAll(snapshot);
    }

    /**
     * Applies a command, and returns whether it changed the state. An acquisition changes nothing if the entry has changed since the
     * request. Other commands change nothing if the requester does not own the lease under their epoch. Neither does the begin of work that
     * is recorded already, nor the end of work that is not. A renewal changes only the version, also when it is repeated.
     */
    public boolean apply(LeaseCommand command) {
        Entry after = next(entry(command.leaseName()), command);
        if (after != null) {
            entries.put(command.leaseName(), after);
        }
        return after != null;
    }

    /** Returns the entry after a command, or null if the command changes nothing. */
    private static Entry next(Entry entry, LeaseCommand command) {
        LeaseOwner requester = command.requester();
        if (command instanceof LeaseCommand.Acquire acquire && acquire.expectedVersion() == entry.version) {
            long epoch = Math.max(entry.epoch + 1, acquire.minEpoch());
            return entry.next(requester, epoch, acquire.duration(), entry.unfinishedWork);
        }
        if (command instanceof LeaseCommand.Renew renew && entry.isOwnedBy(requester, renew.epoch())) {
            return entry.withWork(entry.unfinishedWork);
        }
        if (command instanceof LeaseCommand.Release release && entry.isOwnedBy(requester, release.epoch())) {
            return entry.next(null, entry.epoch, entry.duration, entry.unfinishedWork);
        }
        if (command instanceof LeaseCommand.BeginWork begin
                && entry.isOwnedBy(requester, begin.epoch())
                && entry.unfinishedWork.size() < MAX_UNFINISHED_WORK
                && !entry.unfinishedWork.containsKey(begin.workId())) {
            Map<String, String> work = new TreeMap<>(entry.unfinishedWork);
            work.put(begin.workId(), begin.description());
            return entry.withWork(work);
        }
        if (command instanceof LeaseCommand.FinishWork finish
                && entry.isOwnedBy(requester, finish.epoch())
                && entry.unfinishedWork.containsKey(finish.workId())) {
            Map<String, String> work = new TreeMap<>(entry.unfinishedWork);
            work.remove(finish.workId());
            return entry.withWork(work);
        }
        return null;
    }
}
