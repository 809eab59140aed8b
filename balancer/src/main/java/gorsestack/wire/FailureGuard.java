package gorsestack.wire;

/** Runs tasks of the event loop that belong to one connection, and ends the connection if a task fails. */
final class FailureGuard {
    private FailureGuard() {}

    /**
     * Runs a task. If it throws, the connection is told, and the exception goes on to the event loop, which logs it. Without this, a fault
     * that one input triggers would leave a connection whose peer waits for good.
     *
     * @param onFailure ends the connection
     */
    static void run(Runnable task, Runnable onFailure) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            endConnection(onFailure, failure);
            throw failure;
        }
    }

    private static void endConnection(Runnable onFailure, Throwable failure) {
        try {
            onFailure.run();
        } catch (RuntimeException | Error second) {
            failure.addSuppressed(second);
        }
    }
}
