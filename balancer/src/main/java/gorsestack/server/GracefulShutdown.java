package gorsestack.server;

import gorsestack.admin.Handover;
import gorsestack.proxy.CallDispatcher;
import gorsestack.settings.Limits;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Network;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Shuts the balancer down at SIGTERM or SIGINT. Unless a successor accepts new connections, they are accepted for a while, as another
 * balancer may not be ready yet. Connected clients are served for as long as their calls can still be completed. The process exits after
 * the last call.
 *
 * <p>Threads: {@link BalancerServer} sets it up on the main thread. The shutdown runs on the signal's thread and calls the dispatcher on
 * the event loop's thread only.
 */
final class GracefulShutdown {
    private static final System.Logger LOG = System.getLogger("gorsestack.service");

    private final EventLoop eventLoop;
    private final StartGate gate;
    private final AtomicBoolean requested = new AtomicBoolean();
    private final CountDownLatch callsComplete = new CountDownLatch(1);
    private Limits limits;
    private Network network;
    private CallDispatcher calls;
    private Handover handover;

    /** @param gate the gate that is opened after {@link #setBalancer} has been called */
    GracefulShutdown(EventLoop eventLoop, StartGate gate) {
        this.eventLoop = eventLoop;
        this.gate = gate;
    }

    /**
     * Registers handlers for SIGTERM and SIGINT. Without them, a signal that arrives during the start would end the JVM by its default
     * action, which closes the log first. Such a signal is handled once the gate is open. A second signal has no effect.
     */
    void handleSignals(SignalHandlers signals) {
        Runnable handler = () -> {
            if (!requested.getAndSet(true) && gate.await()) {
                shutDown();
            }
        };
        signals.register("TERM", handler);
        signals.register("INT", handler);
    }

    /**
     * Sets the components that are shut down. Must be called before the gate is opened.
     *
     * @param handoverOrNull the handover between processes; null if there is none
     */
    void setBalancer(Limits newLimits, Network newNetwork, CallDispatcher dispatcher, Handover handoverOrNull) {
        limits = newLimits;
        network = newNetwork;
        calls = dispatcher;
        handover = handoverOrNull;
    }

    private void shutDown() {
        long signalledAt = eventLoop.now();
        // A successor accepts all new connections immediately. Without one, clients continue to connect for a while.
        boolean hasSuccessor = handover != null && handover.successorAccepts();
        if (hasSuccessor) {
            handover.stopAccepting();
        }
        long acceptNanos = limits.shutdown().acceptNanos();
        long lastResponseAt =
                signalledAt + limits.shutdown().endNanos() - limits.call().responseMarginNanos();
        eventLoop.execute(() -> calls.shutDown(lastResponseAt, hasSuccessor));
        eventLoop.at(signalledAt + (hasSuccessor ? 0 : acceptNanos), network::stopAccepting);
        // After the last accept, connections that the closing listener took from its backlog have been counted.
        eventLoop.at(signalledAt + acceptNanos, () -> calls.clients().onAllClosed(callsComplete::countDown));
        eventLoop.at(
                signalledAt + (hasSuccessor ? acceptNanos : limits.shutdown().serveNanos()), calls.clients()::closeAll);
        awaitCalls();
        LOG.log(System.Logger.Level.INFO, "shutdown_complete");
        System.exit(0);
    }

    /**
     * Waits for the calls to complete, then for responses that are still being forwarded. Prevents a large response from being truncated
     * while its upstream still sends it; a supervisor that cannot wait sends SIGKILL.
     */
    private void awaitCalls() {
        try {
            if (!callsComplete.await(limits.shutdown().endNanos(), TimeUnit.NANOSECONDS)) {
                eventLoop.execute(calls.clients()::closeAllButLargeResponses);
                callsComplete.await(limits.shutdown().responseNanos(), TimeUnit.NANOSECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
