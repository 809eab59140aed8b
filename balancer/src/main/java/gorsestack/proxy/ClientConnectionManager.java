package gorsestack.proxy;

import gorsestack.invariant.CloseReason;
import gorsestack.settings.Limits;
import gorsestack.wire.BufferBudget;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ClosePriority;
import gorsestack.wire.EventLoop;
import gorsestack.wire.MalformedMessageException;
import gorsestack.wire.Network;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Holds the connections that clients opened: limits their number, chooses which are closed when it is exceeded, and closes all of them at
 * shutdown. Used by {@link CallDispatcher} and the server. Owned by the event loop's thread. Idle connections are closed in tasks queued
 * after the input read so far, so that none is closed while a call of its client is queued. A timer or a lower limit may close them sooner;
 * in each case the socket keeps a connection on which input has arrived that was not handled yet.
 */
public final class ClientConnectionManager {
    private static final System.Logger LOG = System.getLogger("gorsestack.client");
    /** The priorities of connections that are closed when there are too many. */
    private static final Set<ClosePriority> EVICTED = EnumSet.range(ClosePriority.LINGERING, ClosePriority.STOPPED);

    private final EventLoop eventLoop;
    private final Limits limits;
    private final Network network;
    private final BufferBudget bufferBudget;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    private int maxConnections;
    /** Whether a check of the limit is queued on the event loop; one serves all connections that are opened before it. */
    private boolean limitCheckQueued;
    /** Whether a later check of the limit is scheduled. */
    private boolean limitCheckScheduled;

    private boolean closing;
    private boolean evacuating;
    private Runnable onAllClosed;
    /** Number of connections closed since the last sweep because their clients do not read while responses occupy too much memory. */
    private int closedStalledReaders;
    /** Number of these whose clients may have been reading slowly. */
    private int closedPossibleReaders;

    private boolean closingOfStalledReadersScheduled;
    private final EvictionLog evictions = new EvictionLog();

    ClientConnectionManager(EventLoop eventLoop, Limits limits, Network network, BufferBudget bufferBudget) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.network = network;
        this.bufferBudget = bufferBudget;
        bufferBudget.reclaimRequestsBy(this::rejectStalledRequests);
        bufferBudget.reclaimResponsesBy(this::scheduleClosingOfStalledReaders);
        maxConnections = limits.client().maxConnections();
    }

    BufferBudget bufferBudget() {
        return bufferBudget;
    }

    int size() {
        return open.size();
    }

    /**
     * Returns whether new calls must be rejected and their connections closed, as calls take up all connections. Connections without a call
     * are no reason, since they give way.
     */
    boolean full(int openCalls) {
        return openCalls >= maxConnections && acceptsNoMore();
    }

    private boolean acceptsNoMore() {
        return open.size() >= maxConnections + limits.client().spareConnections();
    }

    /** Returns whether clients are being moved to another balancer. */
    boolean evacuating() {
        return evacuating;
    }

    /**
     * Returns whether connections are closed with their next response. Prevents the loss of a call that is in transit while its idle
     * connection is closed, as was seen with few descriptors; after a response that announces the close, no call is in transit.
     */
    boolean closing() {
        return closing || evacuating || open.size() > maxConnections;
    }

    void opened(ClientConnection connection) {
        open.add(connection);
        if (open.size() > maxConnections && !limitCheckQueued) {
            limitCheckQueued = true;
            eventLoop.execute(() -> {
                limitCheckQueued = false;
                enforceLimit();
            });
        }
    }

    void closed(ClientConnection connection) {
        open.remove(connection);
        reportIfAllClosed();
    }

    void limitConnections(int max) {
        maxConnections = max;
        enforceLimit();
    }

    /**
     * Closes connections over the limit. Prevents clients that are idle, never send a call or stop within a request from excluding those that
     * do send one. While there are too many the check is repeated, whatever was closed: the socket keeps a connection on which input has
     * arrived, and without the repetition nothing would be closed any more, as no other connection is accepted.
     */
    private void enforceLimit() {
        int excess = open.size() - maxConnections;
        if (excess <= 0) {
            return;
        }
        Map<ClosePriority, List<ClientConnection>> byPriority = open.stream()
                .collect(Collectors.groupingBy(
                        ClientConnection::closePriority,
                        () -> new EnumMap<>(ClosePriority.class),
                        Collectors.toList()));
        excess -= byPriority.getOrDefault(ClosePriority.CLOSING, List.of()).size();
        for (ClosePriority priority : EVICTED) {
            excess -= evict(priority, byPriority.getOrDefault(priority, List.of()), Math.max(0, excess));
        }
        scheduleLimitCheck();
    }

    private void scheduleLimitCheck() {
        if (!limitCheckScheduled) {
            limitCheckScheduled = true;
            eventLoop.at(eventLoop.now() + limits.client().firstRequestGraceNanos() / 2, () -> {
                limitCheckScheduled = false;
                enforceLimit();
            });
        }
    }

    /** Closes up to {@code maxCount} of these connections, which have this priority, the oldest first, and returns how many. */
    private int evict(ClosePriority priority, List<ClientConnection> candidates, int maxCount) {
        List<ClientConnection> chosen = candidates.stream()
                .sorted(oldestFirst(priority))
                .limit(maxCount)
                .toList();
        chosen.forEach(ClientConnection::evict);
        evictions.add(priority, chosen.size());
        return chosen.size();
    }

    /** Closes connections that have long been idle and exceed half of the limit, the oldest first. */
    private void closeIdleBeyondHalf() {
        List<ClientConnection> idle = open.stream()
                .filter(connection -> connection.closePriority() == ClosePriority.IDLE)
                .toList();
        evict(ClosePriority.IDLE, idle, Math.max(0, open.size() - maxConnections / 2));
    }

    /** Returns the order within a priority: of requests that have stopped, first the longest; otherwise that in which they were opened. */
    private static Comparator<ClientConnection> oldestFirst(ClosePriority priority) {
        return priority == ClosePriority.STOPPED
                ? Comparator.comparingLong(ClientConnection::lastProgressAt)
                : Comparator.comparingLong(ClientConnection::number);
    }

    /**
     * Rejects incomplete requests, first those that have made no progress for longest, until all requests together occupy no more memory
     * than they may. Without this, some hundred clients that stop within a body would use up the heap.
     */
    private void rejectStalledRequests() {
        while (bufferBudget.requestsExceedLimit()) {
            ClientConnection stalled = longestStalled(ClientConnection::requestStalledSince);
            if (stalled == null) {
                return;
            }
            bufferBudget.requestRefused();
            stalled.reject(new MalformedMessageException(503, "incomplete requests occupy too much memory"));
        }
    }

    /** Runs in a task of its own: responses are written from within the policy's decisions, and closing a connection notifies the policy. */
    private void scheduleClosingOfStalledReaders() {
        if (!closingOfStalledReadersScheduled) {
            closingOfStalledReadersScheduled = true;
            eventLoop.execute(this::closeStalledReaders);
        }
    }

    /**
     * Closes connections whose clients do not read, first those that are overdue for longest by the speed of the slowest reader, until the
     * responses that wait to be sent occupy no more memory than they may. Without this, some hundred clients that send calls and read nothing
     * would use up the heap.
     */
    private void closeStalledReaders() {
        closingOfStalledReadersScheduled = false;
        while (bufferBudget.responsesExceedLimit()) {
            ClientConnection stalled = longestStalled(ClientConnection::responseExpectedBy);
            if (stalled == null) {
                return;
            }
            closedStalledReaders++;
            if (stalled.responseExpectedBy() > eventLoop.now()) {
                closedPossibleReaders++;
            }
            stalled.drop(CloseReason.STALLED);
        }
    }

    /** Returns the connection with the earliest such time, or null if none is stalled; Long.MAX_VALUE stands for one that is not. */
    private ClientConnection longestStalled(ToLongFunction<ClientConnection> stalledSince) {
        return open.stream()
                .filter(connection -> stalledSince.applyAsLong(connection) < Long.MAX_VALUE)
                .min(Comparator.comparingLong(stalledSince))
                .orElse(null);
    }

    private void logClosedStalledReaders() {
        if (closedStalledReaders > 0) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "response_memory_exhausted connections_closed={0} maybe_reading={1}",
                    closedStalledReaders,
                    closedPossibleReaders);
            closedStalledReaders = 0;
            closedPossibleReaders = 0;
        }
    }

    private void logRefusedRequests() {
        int refused = bufferBudget.getAndResetRefused();
        if (refused > 0) {
            LOG.log(System.Logger.Level.WARNING, "request_memory_exhausted requests_rejected={0}", refused);
        }
    }

    private void closeIdle(Predicate<ClientConnection> condition) {
        List.copyOf(open).stream().filter(condition).forEach(connection -> eventLoop.execute(connection::closeIfIdle));
    }

    /** Moves clients to another balancer, or accepts them again. */
    void evacuate(boolean enabled) {
        if (enabled && !evacuating) {
            eventLoop.at(
                    eventLoop.now() + limits.client().evacuationIdleTimeoutNanos(), this::closeIdleWhileEvacuating);
        }
        evacuating = enabled;
    }

    /** Closes the connections of clients that send no further calls, as they get no response that announces the close. */
    private void closeIdleWhileEvacuating() {
        if (evacuating) {
            eventLoop.at(eventLoop.now() + limits.call().sweepIntervalNanos(), this::closeIdleWhileEvacuating);
            closeIdle(connection -> true);
        }
    }

    /** Moves clients to another process that accepts them, as a large call that begins here might not be completed. */
    void closeForOtherProcess() {
        closing = true;
        closeIdle(ClientConnection::hasRequested);
    }

    /** Closes idle connections now, the others with their next response. */
    public void closeAll() {
        closing = true;
        closeIdle(connection -> true);
    }

    /** Closes all connections except those with a large response in progress. */
    public void closeAllButLargeResponses() {
        List.copyOf(open).forEach(ClientConnection::endForShutdown);
    }

    /**
     * Runs {@code action} once the last connection and its socket are closed. Without this, the end of the process could reset a connection
     * that was just accepted and is not known to this thread yet, or one whose last response is still being written.
     */
    public void onAllClosed(Runnable action) {
        onAllClosed = action;
        reportIfAllClosed();
    }

    private void reportIfAllClosed() {
        if (onAllClosed == null) {
            return;
        }
        if (open.isEmpty() && network.accepted() == 0) {
            Runnable action = onAllClosed;
            onAllClosed = null;
            action.run();
        } else if (open.isEmpty()) {
            eventLoop.at(eventLoop.now() + limits.upstream().reuseDelayNanos(), this::reportIfAllClosed);
        }
    }

    /** Closes overdue connections, long idle ones beyond half of the limit and, at shutdown, all idle ones; called periodically. */
    void sweep() {
        eventLoop.execute(() -> {
            List.copyOf(open).forEach(ClientConnection::giveUpIfOverdue);
            closeIdleBeyondHalf();
            if (closing) {
                closeIdle(connection -> true);
            }
            evictions.log(open.size(), acceptsNoMore());
            logRefusedRequests();
            logClosedStalledReaders();
        });
    }
}
