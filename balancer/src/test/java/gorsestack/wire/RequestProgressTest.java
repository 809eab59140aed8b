package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a request that counts as sent before its last byte is, or the reverse: retries depend on it. */
class RequestProgressTest {
    private final RequestProgress progress = new RequestProgress();

    @Test
    void isNotWrittenWhileRequestWaitsForConnection() {
        progress.reset(0, true);
        assertTrue(progress.waitsForConnection());
        assertFalse(progress.written());
        progress.stopWaiting();
        progress.begin();
        assertFalse(progress.written());
        progress.writeSent();
        assertTrue(progress.written());
    }

    @Test
    void isWrittenWhenLastWriteOfRelayedBodyIsSent() {
        progress.reset(-1, false);
        progress.begin();
        progress.writeQueued(7);
        progress.writeSent();
        progress.bodyComplete();
        assertFalse(progress.becameWritten());
        progress.writeSent();
        assertTrue(progress.becameWritten());
        assertFalse(progress.becameWritten(), "reported once");
        progress.reset(0, false);
        progress.begin();
        progress.writeSent();
        assertTrue(progress.becameWritten(), "once for each attempt");
    }

    /** Guards against a request that counts as incomplete although its upstream has all of it. */
    @Test
    void isWrittenWithTheLastByteOfAKnownLength() {
        progress.reset(10, false);
        progress.begin();
        progress.writeQueued(7);
        progress.writeSent();
        progress.writeSent();
        assertFalse(progress.written());
        progress.writeQueued(3);
        assertFalse(progress.written());
        progress.writeSent();
        assertTrue(progress.written());
    }

    @Test
    void recordsWhetherAndWhenFirstByteWasReleased() {
        progress.reset(0, false);
        progress.begin();
        assertFalse(progress.release(7, false));
        assertTrue(progress.denied());
        assertEquals(7, progress.firstByteAt());
        progress.begin();
        assertFalse(progress.denied());
        assertTrue(progress.release(8, true));
        assertFalse(progress.denied());
        assertEquals(8, progress.firstByteAt());
    }
}
