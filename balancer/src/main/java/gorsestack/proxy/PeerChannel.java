package gorsestack.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Carries messages between balancers. Used by {@link CallDispatcher} and {@link RecoveryCoordinator} on the event loop's thread. */
public interface PeerChannel {
    /** Sends load gossip to the peer with this index; the message may be lost. */
    void sendLoadGossip(int peer, byte[] message);

    /** Handles a message from a peer and returns the load gossip in it, or null if it has none. */
    byte[] onMessage(int peer, byte[] message);

    /** Returns the fraction of the recently seen peers that had started recently; NaN if too few were seen. */
    default double recentlyStartedFraction() {
        return Double.NaN;
    }

    /** Adds the channel's part of the status document. */
    default void status(ObjectNode status) {}
}
