package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.settings.Limits;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/**
 * Runs every sequence of six of the events on a relayed body. Guards against a receiver that gets a body without its beginning or with a
 * gap, and against a sender whose connection stays paused when nobody will resume it, so that the next message on it is never read.
 */
class BodyRelayStatesTest {
    private static final Limits LIMITS = TestLimits.defaults();
    /** Bytes held by the relay before the first event, and bytes of each piece. */
    private static final int PIECE_BYTES = 3;
    /** More bytes than may wait to be sent. */
    private static final long TOO_MANY_UNSENT = 1 << 20;

    private enum Event {
        PIECE,
        TWO_PIECES_IN_ONE_READ,
        LAST_BYTE,
        TARGET_IS_FULL,
        TARGET_HAS_SENT,
        ATTACH,
        DETACH,
        SOURCE_FAILS,
        CANCEL
    }

    /** Receives the body. */
    private static final class RecordingTarget implements BodyRelay.Target {
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
        long unsent;
        boolean complete;
        boolean failed;

        @Override
        public void writeBody(byte[] bytes) {
            received.writeBytes(bytes);
        }

        @Override
        public void bodyComplete() {
            complete = true;
        }

        @Override
        public void bodyFailed() {
            failed = true;
        }

        @Override
        public long unsent() {
            return unsent;
        }
    }

    /** Sends a body of numbered bytes, and keeps what it reads while it is paused. */
    private static final class RecordingSource implements BodyRelay.Source {
        /** The reads that wait for the source to be resumed; each holds the number of its pieces, or none for the end of the body. */
        final Queue<Integer> waiting = new ArrayDeque<>();

        boolean paused;
        int notReplayable;

        @Override
        public void pauseBody(boolean nowPaused) {
            paused = nowPaused;
        }

        @Override
        public void bodyCancelled() {}

        @Override
        public void bodyNotReplayable() {
            notReplayable++;
        }
    }

    /** Applies one sequence of events to one body. */
    private static final class SequenceRun {
        private final RecordingSource source = new RecordingSource();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final List<RecordingTarget> targets = new ArrayList<>();
        private final BodyRelay relay;
        private RecordingTarget current;
        private boolean lastByteRead;
        private boolean ended;

        SequenceRun() {
            relay = BodyRelay.ofRequest(Integer.MAX_VALUE, nextPiece(), new BufferBudget(LIMITS), source);
            relay.awaitTarget();
        }

        private byte[] nextPiece() {
            byte[] piece = new byte[PIECE_BYTES];
            for (int i = 0; i < PIECE_BYTES; i++) {
                piece[i] = (byte) (body.size() + i);
            }
            body.writeBytes(piece);
            return piece;
        }

        /** Returns what is wrong after one of the events, or null if nothing is. */
        String run(List<Event> sequence) {
            for (Event event : sequence) {
                apply(event);
                while (!source.paused && !source.waiting.isEmpty()) {
                    deliver(source.waiting.remove());
                }
                String failure = failure();
                if (failure != null) {
                    return failure;
                }
            }
            return null;
        }

        private void apply(Event event) {
            switch (event) {
                case PIECE -> read(1);
                case TWO_PIECES_IN_ONE_READ -> read(2);
                case LAST_BYTE -> {
                    read(0);
                    lastByteRead = true;
                }
                case TARGET_IS_FULL -> setUnsent(TOO_MANY_UNSENT);
                case TARGET_HAS_SENT -> {
                    setUnsent(0);
                    if (current != null) {
                        relay.targetSent();
                    }
                }
                case ATTACH -> attach();
                case DETACH -> detach();
                case SOURCE_FAILS -> {
                    relay.fail();
                    ended = true;
                }
                case CANCEL -> {
                    relay.cancel();
                    ended = true;
                }
            }
        }

        private void read(int pieces) {
            if (!lastByteRead) {
                source.waiting.add(pieces);
            }
        }

        private void deliver(int pieces) {
            for (int i = 0; i < pieces; i++) {
                byte[] piece = nextPiece();
                relay.relay(piece, 0, piece.length);
            }
            if (pieces == 0 && !ended) {
                relay.complete();
                ended = true;
            }
        }

        private void setUnsent(long bytes) {
            if (current != null) {
                current.unsent = bytes;
            }
        }

        private void attach() {
            if (current == null) {
                RecordingTarget target = new RecordingTarget();
                targets.add(target);
                relay.attach(target);
                current = target.failed ? null : target;
            }
        }

        private void detach() {
            if (current != null) {
                relay.detach(current);
                current = null;
            }
        }

        private String failure() {
            byte[] expected = body.toByteArray();
            for (RecordingTarget target : targets) {
                byte[] received = target.received.toByteArray();
                if (received.length > expected.length
                        || !Arrays.equals(received, 0, received.length, expected, 0, received.length)) {
                    return "a target received something else than the body from its first byte";
                }
                if (target.complete && (received.length < expected.length || target.failed)) {
                    return "a body with a gap was reported as complete";
                }
            }
            if (source.notReplayable > 1) {
                return "the loss of the beginning was reported twice";
            }
            if (ended && source.paused) {
                return "the source stays paused after the end of the body";
            }
            return current != null && !ended && source.paused && current.unsent == 0
                    ? "the source stays paused although the target has sent everything"
                    : null;
        }
    }

    @Test
    void deliversEachBodyFromItsFirstByteAndResumesItsSourceForEverySequenceOfEvents() {
        assertEquals(
                List.of(),
                EventSequences.firstFailure(List.of(Event.values()), 6, sequence -> new SequenceRun().run(sequence)));
    }
}
