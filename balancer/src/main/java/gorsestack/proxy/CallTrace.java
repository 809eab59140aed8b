package gorsestack.proxy;

/**
 * Logs each step of each call if it is enabled: at DEBUG by the logging configuration, at INFO once an operator has enabled it. Used by
 * {@link CallDispatcher} and its collaborators. Owned by the event loop's thread.
 */
final class CallTrace {
    static final System.Logger LOG = System.getLogger("gorsestack.calls");

    /** Whether steps are logged. Cached in a field, as a query of the logger for each step would be too slow for the hot path. */
    private boolean enabled = LOG.isLoggable(System.Logger.Level.DEBUG);

    private System.Logger.Level level = System.Logger.Level.DEBUG;

    /** Enables or disables the trace by an operator's command. */
    void enable(boolean newEnabled) {
        enabled = newEnabled;
        level = System.Logger.Level.INFO;
    }

    void log(String format, Object... arguments) {
        if (enabled) {
            LOG.log(level, format, arguments);
        }
    }
}
