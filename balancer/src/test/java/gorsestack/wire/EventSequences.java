package gorsestack.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Runs a check for every sequence of a given length over a set of events. Used by the state tests of this package. */
final class EventSequences {
    private EventSequences() {}

    /**
     * Runs each sequence in turn and returns the first one that fails, or an empty list if none does.
     *
     * @param runSequence returns what is wrong after a sequence, or null if nothing is
     */
    static <E> List<E> firstFailure(List<E> events, int length, Function<List<E>, String> runSequence) {
        long count = (long) StrictMath.pow(events.size(), length);
        for (long number = 0; number < count; number++) {
            List<E> sequence = sequence(events, length, number);
            String failure = runSequence.apply(sequence);
            if (failure != null) {
                System.err.println(sequence + ": " + failure);
                return sequence;
            }
        }
        return List.of();
    }

    /** Returns the sequence with the given number: each digit of the number, to the base of the number of events, stands for an event. */
    private static <E> List<E> sequence(List<E> events, int length, long number) {
        List<E> sequence = new ArrayList<>(length);
        long rest = number;
        for (int i = 0; i < length; i++) {
            sequence.add(events.get((int) (rest % events.size())));
            rest /= events.size();
        }
        return sequence;
    }
}
