package gorsestack.recovery;

import gorsestack.decision.SeededRandom;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Tracks the rounds of state requests after a start: which peers were sent a request, which have responded, and when the next round is due.
 * Used by {@link PeerRecovery} on its thread. Callers pass the current time. This class performs no I/O, and no method waits for a
 * response.
 */
final class StateRequests {
    /** Number of peers in the first round. Three responses distinguish a restart of the fleet from a restart of this balancer alone. */
    private static final int FIRST_ROUND_PEERS = 3;

    private static final int PEERS_PER_FURTHER_ROUND = 2;
    private static final int ROUNDS = 3;
    /** Value of {@link #round} once responses no longer count. */
    private static final int FINISHED = ROUNDS + 1;
    /** Maximum number of random draws for each additional peer, as a draw may hit a peer that was drawn before. */
    private static final int DRAWS_PER_PEER = 4;

    private static final long MS = 1_000_000;
    /**
     * Maximum random delay in nanoseconds before the first round, as long as the shortest warm-up. Prevents a fleet that is started at once
     * from sending all requests at once.
     */
    private static final long START_JITTER = 200 * MS;
    /** Timeout of the first round in nanoseconds, several times the longest round trip in the settings, 66 ms. */
    private static final long ROUND_TIMEOUT = 300 * MS;

    private final int self;
    private final int balancerCount;
    private final SeededRandom random;
    private final TreeSet<Integer> requested = new TreeSet<>();
    private final TreeSet<Integer> responded = new TreeSet<>();
    private int round;
    private long nextRoundAt;

    StateRequests(int self, int balancerCount, long now, SeededRandom random) {
        this.self = self;
        this.balancerCount = balancerCount;
        this.random = random;
        nextRoundAt = balancerCount > 1 ? now + (long) (random.next() * START_JITTER) : Long.MAX_VALUE;
    }

    /** Returns the time at which the next round or the end of the last one is due; Long.MAX_VALUE once finished, or without peers. */
    long nextRoundAt() {
        return nextRoundAt;
    }

    /** Returns whether a peer was sent a state request. */
    boolean wasRequested(int peer) {
        return requested.contains(peer);
    }

    /**
     * Records a response.
     *
     * @return whether the response counts: it was requested, is the first one of the peer, and arrived before the end
     */
    boolean recordResponse(int peer) {
        return requested.contains(peer) && responded.add(peer) && round < FINISHED;
    }

    /** Returns whether no further round is to be started. */
    boolean isComplete() {
        return round == ROUNDS || (round > 0 && responded.containsAll(requested));
    }

    /** Ends the rounds. Later responses do not count. */
    void finish() {
        nextRoundAt = Long.MAX_VALUE;
        round = FINISHED;
    }

    /**
     * Starts a round, which adds random peers to those of the previous rounds.
     *
     * @param preferred peers that are always among those of the first round
     * @return the peers to send requests to: all that have not responded yet
     */
    List<Integer> startRound(Collection<Integer> preferred) {
        int additional = round == 0 ? FIRST_ROUND_PEERS : PEERS_PER_FURTHER_ROUND;
        if (round == 0) {
            requested.addAll(preferred);
        }
        int targetCount = Math.min(balancerCount - 1, FIRST_ROUND_PEERS + PEERS_PER_FURTHER_ROUND * round);
        for (int draw = 0; draw < additional * DRAWS_PER_PEER && requested.size() < targetCount; draw++) {
            int peer = (int) (random.next() * (balancerCount - 1));
            requested.add(peer < self ? peer : peer + 1);
        }
        round++;
        return requested.stream().filter(peer -> !responded.contains(peer)).toList();
    }

    /** Schedules the end of the current round. The timeout grows with each round; random jitter adds up to half as much. */
    void scheduleNextRound(long now) {
        nextRoundAt = now + (long) (ROUND_TIMEOUT * round * (1 + random.next() / 2));
    }

    /** Returns the fraction of requested peers that have not responded; NaN before the first round is over. */
    double silentFraction(long now) {
        if (round == 0 || (round == 1 && now < nextRoundAt)) {
            return Double.NaN;
        }
        long silent =
                requested.stream().filter(peer -> !responded.contains(peer)).count();
        return silent / (double) requested.size();
    }
}
