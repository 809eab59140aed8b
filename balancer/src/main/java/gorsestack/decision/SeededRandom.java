package gorsestack.decision;

import java.util.zip.CRC32;

/**
 * A pseudo-random generator that hashes a seed and a counter, so that equal seeds give equal draws at every replay. Used for all random
 * decisions; not thread-safe.
 */
public final class SeededRandom {
    private final CRC32 crc = new CRC32();
    private final long seed;
    private long draws;

    /** Creates a generator whose draws depend only on the seed and the number of earlier draws. */
    public SeededRandom(long seed) {
        this.seed = seed;
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    public double next() {
        crc.reset();
        draws++;
        for (int shift = 0; shift < 64; shift += 8) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (draws >>> shift));
        }
        return crc.getValue() / (double) (1L << 32);
    }
}
