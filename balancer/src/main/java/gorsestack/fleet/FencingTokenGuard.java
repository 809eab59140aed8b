package gorsestack.fleet;

/**
 * Protects a receiver from the effects of earlier owners of a lease; an effect is an operation that a lease owner requests from a receiver.
 * Rejects each effect whose epoch is lower than the highest epoch seen so far. Persists the epoch and number of an effect before the effect
 * is executed. A receiver without persisted state accepts nothing until it has learned the current epoch from a majority of the members.
 * Not thread-safe: each receiver calls its guard on one thread.
 */
public final class FencingTokenGuard {
    /** The result of checking an effect. The receiver executes only effects that are accepted. */
    public enum Verdict {
        /** The effect is new and is executed now. */
        ACCEPTED,
        /** The effect has been accepted before, or a later one of its epoch has; it is not executed. */
        DUPLICATE,
        /** The effect comes from an earlier owner and must never be executed. */
        STALE,
        /** The current epoch is not known yet, so the effect is not executed. */
        UNKNOWN,
        /** The epoch and number could not be persisted, so the effect is not executed. */
        NOT_PERSISTED
    }

    /** Persists the highest epoch and the last sequence number, so that the next process of the receiver knows them. */
    public interface TokenStore {
        /** Persists an epoch and the number of its last effect, and returns whether that succeeded. */
        boolean persist(long epoch, long sequenceNumber);
    }

    private static final long UNKNOWN_EPOCH = -1;

    private final TokenStore store;
    private long highestEpoch;
    private long lastSequenceNumber;

    /** Creates a guard with the state that an earlier process has persisted. */
    public FencingTokenGuard(long highestEpoch, long lastSequenceNumber, TokenStore store) {
        this.highestEpoch = highestEpoch;
        this.lastSequenceNumber = lastSequenceNumber;
        this.store = store;
    }

    /** Creates a guard without persisted state, which accepts nothing until it is notified of the current epoch. */
    public FencingTokenGuard(TokenStore store) {
        this(UNKNOWN_EPOCH, 0, store);
    }

    /** Returns the highest epoch seen, or a negative number if none is known. */
    public long highestEpoch() {
        return highestEpoch;
    }

    /** Handles the current epoch, as a majority of the members has reported it. */
    public void onCurrentEpoch(long currentEpoch) {
        if (currentEpoch > highestEpoch) {
            highestEpoch = currentEpoch;
            lastSequenceNumber = 0;
        }
    }

    /**
     * Checks an effect, and persists its epoch and sequence number if it is accepted.
     *
     * @param epoch epoch under which the owner requests the effect
     * @param sequenceNumber number of the effect; an owner numbers the effects of an epoch from 1
     */
    public Verdict check(long epoch, long sequenceNumber) {
        if (highestEpoch == UNKNOWN_EPOCH) {
            return Verdict.UNKNOWN;
        }
        if (epoch < highestEpoch) {
            return Verdict.STALE;
        }
        if (epoch == highestEpoch && sequenceNumber <= lastSequenceNumber) {
            return Verdict.DUPLICATE;
        }
        if (!store.persist(epoch, sequenceNumber)) {
            return Verdict.NOT_PERSISTED;
        }
        highestEpoch = epoch;
        lastSequenceNumber = sequenceNumber;
        return Verdict.ACCEPTED;
    }
}
