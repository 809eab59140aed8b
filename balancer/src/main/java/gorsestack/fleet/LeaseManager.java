package gorsestack.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Manages one lease for one member: acquires the lease after it has expired, renews it and releases it. Each input carries the time of this
 * process's own clock. Readings of different clocks are never compared; the clocks only have to run at rates within the given bound of each
 * other. Performs no I/O. Called by the host of the member's {@link ConsensusNode}, on one thread.
 *
 * <p>The owner counts its lease from its request. All other members count it from a time that is no earlier: from when they observed the
 * grant or, for a renewal, from as long after the previous grant as the owner states. They also wait longer by the bound on clock rates. So
 * no two members believe at the same time that they own the lease. An effect that arrives late, when the receiver has already seen a later
 * epoch, is rejected by {@link FencingTokenGuard}.
 */
public final class LeaseManager {
    /** The requests and notifications that a manager sends to its host. */
    public interface Actions {
        /** Proposes a command, which may be committed once, twice or never. */
        void propose(LeaseCommand command);

        /** Requests a call of {@link LeaseManager#tick} at a time of this process's clock, in nanoseconds. */
        void scheduleTick(long time);

        /** Notifies that this process owns the lease. The entry contains the work that earlier owners have not finished. */
        void onAcquired(LeaseTable.Entry entry);

        /** Notifies that this process does not own the lease any more. */
        void onLost();
    }

    /**
     * Number of grants of an epoch that are remembered. A renewal refers to the previous grant, or to an earlier one if its owner did not
     * observe the previous grant in time.
     */
    private static final int MAX_GRANTS = 8;
    /** Number of renewals per lease duration: a lease is renewed after one such part of its duration. */
    private static final int RENEWALS_PER_DURATION = 3;
    /** Number of repetitions of an uncommitted proposal per lease duration. */
    private static final int RETRIES_PER_DURATION = 12;
    /** Divisor of the lease duration that gives the interval over which acquisitions by waiting members are spread. */
    private static final int JITTER_DIVISOR = 6;

    private enum RequestKind {
        NONE,
        ACQUIRE,
        RENEW
    }

    private final String leaseName;
    private final LeaseOwner self;
    private final long duration;
    private final double maxClockDrift;
    private final DoubleSupplier random;
    private final Actions actions;
    private boolean candidate;
    private LeaseTable.Entry entry = LeaseTable.Entry.NONE;
    /** Time from which this member counts the current lease of the entry, in nanoseconds of its clock. */
    private long observedAt;
    /** Epoch under which this process owns the lease until the lease expires; 0 if it does not own the lease. */
    private long epoch;

    private long expiresAt;
    /** Last epoch whose lease this process has lost or given up; 0 if there is none. */
    private long lastLostEpoch;

    private long minEpoch;
    private RequestKind pendingKind = RequestKind.NONE;
    private long requestedAt;
    private long lastRequestId;
    /** Version of the entry after the last grant to this process. */
    private long grantedVersion;
    /** Time of the request for the last grant to this process, in nanoseconds of its clock. */
    private long grantRequestedAt;

    private LeaseCommand pendingProposal;
    /** Latest time at which the lease of each grant of this epoch began, by the entry's version after the grant. */
    private final TreeMap<Long, Long> leaseStarts = new TreeMap<>();
    /** Time of the first request of each proposal that may still be granted in time, by request id. */
    private final TreeMap<Long, Long> requestTimes = new TreeMap<>();

    private long nextTickAt;

    /**
     * Creates a manager that owns no lease, and that waits as if another member had just renewed the lease.
     *
     * @param duration duration of a lease, in nanoseconds
     * @param maxClockDrift by how much the clock of another process may run faster than this one, as a fraction
     * @param candidate whether this member acquires the lease when it can
     * @param now current time of this process's clock, in nanoseconds
     * @param random uniformly distributed numbers from 0 to 1, for jitter
     */
    public LeaseManager(
            String leaseName,
            LeaseOwner self,
            long duration,
            double maxClockDrift,
            boolean candidate,
            long now,
            DoubleSupplier random,
            Actions actions) {
        this.leaseName = leaseName;
        this.self = self;
        this.duration = duration;
        this.maxClockDrift = maxClockDrift;
        this.candidate = candidate;
        this.random = random;
        this.actions = actions;
        // A process that has just started may not know of an owner that has just renewed its lease, so it waits like
        // all other members.
        observedAt = now;
        scheduleNext(now);
    }

    /** Copies a manager, for tests that explore all reachable states. */
    LeaseManager(LeaseManager other, Actions actions) {
        this.leaseName = other.leaseName;
        this.self = other.self;
        this.duration = other.duration;
        this.maxClockDrift = other.maxClockDrift;
        this.random = other.random;
        this.actions = actions;
        candidate = other.candidate;
        entry = other.entry;
        observedAt = other.observedAt;
        epoch = other.epoch;
        expiresAt = other.expiresAt;
        lastLostEpoch = other.lastLostEpoch;
        minEpoch = other.minEpoch;
        pendingKind = other.pendingKind;
        requestedAt = other.requestedAt;
        lastRequestId = other.lastRequestId;
        requestTimes.putAll(other.requestTimes);
        leaseStarts.putAll(other.leaseStarts);
        grantedVersion = other.grantedVersion;
        grantRequestedAt = other.grantRequestedAt;
        pendingProposal = other.pendingProposal;
        nextTickAt = other.nextTickAt;
    }

    /** Returns the whole state with times relative to now, for tests that compare states. */
    List<Object> key(long now) {
        return Arrays.asList(
                self,
                candidate,
                entry,
                Math.max(-2 * duration, observedAt - now),
                epoch,
                epoch == 0 ? 0 : Math.max(0, expiresAt - now),
                lastLostEpoch,
                minEpoch,
                pendingKind,
                pendingKind == RequestKind.NONE && epoch == 0 ? 0 : Math.max(-2 * duration, requestedAt - now),
                lastRequestId,
                requestTimes.entrySet().stream()
                        .filter(request -> now - request.getValue() < duration)
                        .map(request -> List.of(request.getKey(), request.getValue() - now))
                        .toList(),
                leaseStarts.entrySet().stream()
                        .map(start -> List.of(start.getKey(), Math.max(-2 * duration, start.getValue() - now)))
                        .toList(),
                grantedVersion,
                epoch == 0 ? 0 : grantRequestedAt - now,
                pendingKind == RequestKind.NONE ? null : pendingProposal,
                Math.max(0, nextTickAt - now));
    }

    /** Returns whether this process owns the lease now. Called before each effect. */
    public boolean mayAct(long now) {
        return epoch > 0 && now < expiresAt;
    }

    /**
     * Returns the epoch, which is the fencing token that each effect has to carry; 0 if this process does not own the lease. An expired
     * lease keeps its epoch until the next tick, so {@link #mayAct} decides whether the epoch may be used.
     */
    public long epoch() {
        return epoch;
    }

    private void scheduleNext(long now) {
        long wait;
        if (pendingKind != RequestKind.NONE) {
            // The proposal was lost, or its commit was not observed yet. Repeating it is safe: an acquisition is
            // applied
            // only once, and a repeated renewal counts from the same request.
            wait = Math.max(1, duration / RETRIES_PER_DURATION);
        } else if (epoch > 0) {
            wait = Math.max(0, requestedAt + duration / RENEWALS_PER_DURATION - now);
        } else if (!candidate) {
            nextTickAt = Long.MAX_VALUE;
            return;
        } else {
            // The jitter prevents all waiting members from proposing at once.
            long leaseDuration = Math.max(entry.duration(), duration);
            // Nobody acts under a lease that was released, or that belongs to this process, which has given it up.
            boolean idle = (entry.owner() == null && entry.version() > 0) || self.equals(entry.owner());
            long availableAt = idle ? observedAt : observedAt + (long) Math.ceil(leaseDuration * (1 + maxClockDrift));
            wait = Math.max(0, availableAt - now) + (long) (random.getAsDouble() * duration / JITTER_DIVISOR);
        }
        // The tick of an owner comes no later than the expiry of its lease.
        nextTickAt = epoch > 0 ? Math.min(now + wait, Math.max(now, expiresAt)) : now + wait;
        actions.scheduleTick(nextTickAt);
    }

    /** Handles a command that was committed and applied, in log order; {@code after} is the lease's entry after the command. */
    public void onApplied(long now, LeaseCommand command, boolean changed, LeaseTable.Entry after) {
        if (!command.leaseName().equals(leaseName)) {
            return;
        }
        Long requestTime = command.requester().equals(self) ? requestTimes.get(command.requestId()) : null;
        if (changed) {
            entry = after;
            recordGrant(now, command);
        }
        if ((changed && pendingKind == RequestKind.ACQUIRE)
                || (requestTime != null && command.requestId() == lastRequestId)) {
            // The proposal refers to an entry that has changed. If it were repeated at once, this member would not wait
            // for the new lease.
            pendingKind = RequestKind.NONE;
        }
        boolean grantsLease = command instanceof LeaseCommand.Acquire || command instanceof LeaseCommand.Renew;
        if (changed && grantsLease && requestTime != null) {
            acceptGrant(now, requestTime, after);
        }
        if (epoch > 0 && (!self.equals(entry.owner()) || entry.epoch() != epoch)) {
            loseLease();
        }
        if (changed && !candidate && epoch == 0 && self.equals(entry.owner())) {
            // The lease was granted after this member ceased to be a candidate.
            lastRequestId++;
            actions.propose(new LeaseCommand.Release(leaseName, self, lastRequestId, entry.epoch()));
        }
        if (pendingKind == RequestKind.NONE) {
            scheduleNext(now);
        }
    }

    /**
     * Starts or extends the ownership of a lease that was granted to this process. A grant that is observed after its lease has expired is
     * ignored. An epoch whose lease was lost is not used again, because its effects would be numbered from 1
     * again. The lease counts from the request of the proposal that was granted.
     */
    private void acceptGrant(long now, long requestTime, LeaseTable.Entry after) {
        if (now >= requestTime + duration || after.epoch() <= lastLostEpoch) {
            return;
        }
        grantedVersion = after.version();
        grantRequestedAt = requestTime;
        boolean newEpoch = epoch != after.epoch();
        epoch = after.epoch();
        expiresAt = newEpoch ? requestTime + duration : Math.max(expiresAt, requestTime + duration);
        if (newEpoch) {
            actions.onAcquired(after);
        }
    }

    /**
     * Records the latest time from which the lease counts. A renewal may be committed seconds after its request, for example by the next
     * leader if the owner led the group and has crashed. If the lease counted from the commit, all members would wait that much longer.
     * Commands about work do not extend a lease.
     */
    private void recordGrant(long now, LeaseCommand command) {
        if (command instanceof LeaseCommand.BeginWork || command instanceof LeaseCommand.FinishWork) {
            return;
        }
        long from = now;
        if (command instanceof LeaseCommand.Renew renew) {
            Long previous = leaseStarts.get(renew.grantedVersion());
            from = previous == null
                    ? now
                    : Math.min(now, previous + (long) Math.ceil(renew.elapsedSinceGrant() * (1 + maxClockDrift)));
            // The maximum prevents an earlier renewal that is committed after a later one from shortening the lease.
            observedAt = Math.max(observedAt, from);
        } else {
            leaseStarts.clear();
            observedAt = now;
        }
        leaseStarts.put(entry.version(), from);
        while (leaseStarts.size() > MAX_GRANTS) {
            leaseStarts.pollFirstEntry();
        }
    }

    /** Handles a snapshot, which replaces the state of the lease. */
    public void onRestored(long now, LeaseTable.Entry restored) {
        entry = restored;
        observedAt = now;
        leaseStarts.clear();
        pendingKind = RequestKind.NONE;
        if (epoch > 0 && (!self.equals(restored.owner()) || restored.epoch() != epoch)) {
            loseLease();
        }
        scheduleNext(now);
    }

    private void loseLease() {
        lastLostEpoch = epoch;
        epoch = 0;
        expiresAt = 0;
        actions.onLost();
    }

    /** Gives up the lease if it has expired. Then requests a renewal or an acquisition if one is due. */
    public void tick(long now) {
        if (epoch > 0 && now >= expiresAt) {
            loseLease();
            pendingKind = RequestKind.NONE;
        }
        if (now < nextTickAt) {
            return;
        }
        if (epoch > 0) {
            request(now, RequestKind.RENEW);
        } else if (candidate) {
            request(now, RequestKind.ACQUIRE);
        }
    }

    /**
     * Proposes a renewal or an acquisition. Repetitions within half a lease duration have the same request id, so that the commit of any of
     * them is recognized; the lease counts from the first request.
     */
    private void request(long now, RequestKind kind) {
        if (pendingKind != kind || now - requestedAt >= duration / 2) {
            pendingKind = kind;
            requestedAt = now;
            lastRequestId++;
            requestTimes.put(lastRequestId, now);
            requestTimes.values().removeIf(requestTime -> now - requestTime >= duration);
            pendingProposal = kind == RequestKind.ACQUIRE
                    ? new LeaseCommand.Acquire(leaseName, self, lastRequestId, entry.version(), duration, minEpoch)
                    : new LeaseCommand.Renew(
                            leaseName, self, lastRequestId, epoch, now - grantRequestedAt, grantedVersion);
        }
        actions.propose(pendingProposal);
        scheduleNext(now);
    }

    /**
     * Handles a receiver's report of a later epoch than that of the entry. Such an epoch dates from before all members lost their state.
     */
    public void onStaleEpoch(long highestEpoch) {
        minEpoch = Math.max(minEpoch, highestEpoch + 1);
    }

    /** Sets whether this member acquires the lease when it can. If not, releases a lease that it owns at once. */
    public void setCandidate(long now, boolean newCandidate) {
        candidate = newCandidate;
        if (!newCandidate && epoch > 0) {
            long releasedEpoch = epoch;
            loseLease();
            lastRequestId++;
            pendingKind = RequestKind.NONE;
            actions.propose(new LeaseCommand.Release(leaseName, self, lastRequestId, releasedEpoch));
        } else if (newCandidate) {
            scheduleNext(now);
        }
    }
}
