package gorsestack.proxy;

import gorsestack.wire.MinaNetwork;
import java.util.concurrent.ExecutorService;

/** Gives tests access to private parts of a MinaNetwork: its processor's thread, and its disposal before the process ends. */
final class MinaInternals {
    private static final String IO_PROCESSOR = "processor";
    private static final String[] FIELDS_WITH_THREADS = {"acceptor", "connector", IO_PROCESSOR, "threads"};

    private final MinaNetwork network;

    MinaInternals(MinaNetwork network) {
        this.network = network;
    }

    /** Runs a task on the processor's thread, the I/O thread of these tests, which reads from and writes to sockets. */
    void executeOnIoThread(Runnable task) throws ReflectiveOperationException {
        var field = MinaNetwork.class.getDeclaredField(IO_PROCESSOR);
        field.setAccessible(true);
        var execute = field.getType().getDeclaredMethod("execute", Runnable.class);
        execute.setAccessible(true);
        execute.invoke(field.get(network), task);
    }

    /**
     * Disposes of the acceptor, the connector, the processor and the thread pool, which in production end with the process. Does not
     * dispose of the acceptors of separate listeners.
     */
    void dispose() throws ReflectiveOperationException {
        for (String name : FIELDS_WITH_THREADS) {
            var field = MinaNetwork.class.getDeclaredField(name);
            field.setAccessible(true);
            if (field.get(network) instanceof ExecutorService threads) {
                threads.shutdown();
            } else {
                field.getType().getMethod("dispose").invoke(field.get(network));
            }
        }
    }
}
