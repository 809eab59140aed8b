package gorsestack.wire;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;

/** What a link may do to its connection. */
final class Channel {
    private final IoSession session;

    Channel(IoSession session) {
        this.session = session;
    }

    void write(byte[] bytes) {
        session.write(IoBuffer.wrap(bytes));
    }

    void close() {
        session.closeNow();
    }

    void closeWhenSent() {
        session.closeOnFlush();
    }

    void hold(boolean stop) {
        if (stop) {
            session.suspendRead();
        } else {
            session.resumeRead();
        }
    }
}
