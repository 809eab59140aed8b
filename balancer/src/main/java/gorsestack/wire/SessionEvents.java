package gorsestack.wire;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Passes the events of one connection to its handler on the event loop, in order. Reads that follow each other share one task until the
 * event loop has begun it, as do writes that were sent: with a task for each, a peer that sends single bytes at full speed would fill the
 * event loop's queue ahead of all other connections. The methods are called on the processor's thread.
 */
final class SessionEvents {
    /** Reads within this time of each other are passed on as one, with the time of the first. */
    private static final long MERGED_NANOS = 1_000_000;

    private final EventLoop eventLoop;
    private final SessionChannel channel;
    private final ConnectionHandler handler;
    /** The event that was passed on last, if it is of this kind and not begun; null otherwise. */
    private ReadTask lastReads;

    private SentTask lastSent;

    SessionEvents(EventLoop eventLoop, SessionChannel channel, ConnectionHandler handler) {
        this.eventLoop = eventLoop;
        this.channel = channel;
        this.handler = handler;
    }

    /** Passes on an event; if its task fails, the connection ends. */
    void execute(Runnable task) {
        lastReads = null;
        lastSent = null;
        eventLoop.execute(() ->
                FailureGuard.run(task, () -> FailureGuard.run(() -> handler.failed(channel), channel::close)));
    }

    /** Passes on bytes that were read. */
    void received(byte[] bytes) {
        long readAt = eventLoop.now();
        channel.countRead();
        channel.addQueued(bytes.length);
        if (lastReads == null || !lastReads.add(bytes, readAt)) {
            ReadTask reads = new ReadTask();
            reads.add(bytes, readAt);
            execute(reads);
            lastReads = reads;
        }
    }

    /** Passes on that a write was sent. */
    void sent() {
        if (lastSent == null || !lastSent.add()) {
            SentTask writes = new SentTask();
            writes.add();
            execute(writes);
            lastSent = writes;
        }
    }

    /** One or more reads of the socket that the handler receives as one. Guarded by the task that holds it. */
    private static final class Read {
        final long readAt;
        private byte[] first;
        private final GrowableBuffer merged = new GrowableBuffer();
        int count = 1;

        Read(byte[] bytes, long readAt) {
            this.first = bytes;
            this.readAt = readAt;
        }

        void append(byte[] bytes) {
            if (first != null) {
                merged.append(first, 0, first.length);
                first = null;
            }
            merged.append(bytes, 0, bytes.length);
            count++;
        }

        byte[] bytes() {
            return first != null ? first : merged.trimmed();
        }
    }

    /** Hands reads to the handler on the event loop. */
    private final class ReadTask implements Runnable {
        private final List<Read> reads = new ArrayList<>(1);
        private boolean begun;

        /** Adds a read; returns false if the task has begun. */
        synchronized boolean add(byte[] bytes, long readAt) {
            if (begun) {
                return false;
            }
            Read last = reads.isEmpty() ? null : reads.get(reads.size() - 1);
            if (last != null && readAt - last.readAt < MERGED_NANOS) {
                last.append(bytes);
            } else {
                reads.add(new Read(bytes, readAt));
            }
            return true;
        }

        private synchronized List<Read> begin() {
            begun = true;
            return reads;
        }

        @Override
        public void run() {
            Iterator<Read> remaining = begin().iterator();
            try {
                while (remaining.hasNext()) {
                    receive(remaining.next());
                }
            } finally {
                remaining.forEachRemaining(this::uncount); // If the handler has failed, nobody else does.
            }
        }

        /** Hands on a read, and counts its bytes until then: the handler may suspend reading before the next read. */
        private void receive(Read read) {
            byte[] bytes = read.bytes();
            channel.countHandled(read.count);
            try {
                handler.received(bytes, read.readAt);
            } finally {
                channel.addQueued(-bytes.length);
            }
        }

        private void uncount(Read read) {
            channel.countHandled(read.count);
            channel.addQueued(-read.bytes().length);
        }
    }

    /** Tells the handler of writes that were sent, on the event loop. */
    private final class SentTask implements Runnable {
        private int count;
        private boolean begun;

        /** Adds a write; returns false if the task has begun. */
        synchronized boolean add() {
            count += begun ? 0 : 1;
            return !begun;
        }

        private synchronized int begin() {
            begun = true;
            return count;
        }

        @Override
        public void run() {
            int writes = begin();
            for (int i = 0; i < writes; i++) {
                handler.sent();
            }
        }
    }
}
