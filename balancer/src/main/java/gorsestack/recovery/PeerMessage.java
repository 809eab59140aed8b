package gorsestack.recovery;

import gorsestack.decision.LearnedLocality;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

/**
 * A datagram from a peer with its header decoded. {@link PeerMessageCodec} reads and writes the bytes; {@link PeerRecovery} handles the
 * message on its thread.
 *
 * @param kind type of the payload
 * @param incarnation incarnation of the sending process
 * @param uptime uptime of the sending process when it sent the message, in nanoseconds; a duration, since clocks of different hosts are not
 *     comparable
 * @param payload bytes behind the header, not decoded yet
 */
record PeerMessage(Kind kind, long incarnation, long uptime, ByteBuffer payload) {
    private static final List<Kind> KINDS = List.of(Kind.values());

    /** Type of a datagram. The wire code is part of the wire format. */
    enum Kind {
        /** Announces that the sender supports this protocol. */
        HELLO(0),
        /** Carries a load report, whose content this package does not interpret. */
        LOAD_REPORT(1),
        /** Requests a peer's state. Sent by a process that has just started. */
        STATE_REQUEST(2),
        /** Responds to a state request. */
        STATE_RESPONSE(3),
        /** Carries maintenance orders of the sender for the recipient to store. */
        REPLICATE_ORDERS(4),
        /** Carries maintenance orders of the recipient that the sender has stored. */
        REPLICATED_ORDERS(5);

        private final byte wireCode;

        Kind(int wireCode) {
            this.wireCode = (byte) wireCode;
        }

        byte wireCode() {
            return wireCode;
        }

        /** Returns the kind with the given wire code; empty if there is none. */
        static Optional<Kind> ofWireCode(byte code) {
            for (Kind kind : KINDS) {
                if (kind.wireCode == code) {
                    return Optional.of(kind);
                }
            }
            return Optional.empty();
        }
    }

    /** Learned state of one locality, which is identified by the CRC-32 of its zone name. */
    record LocalityState(int zoneHash, LearnedLocality learned) {}

    /**
     * State that a peer sends in response to a state request.
     *
     * @param rememberedIncarnation highest incarnation that the peer has seen of the requesting balancer; 0 if it has seen none
     * @param endpointIndex index of the peer's endpoint list
     * @param learned learned state by locality, the peer's own locality first; empty from a process that has started recently
     */
    record StateResponse(long rememberedIncarnation, long endpointIndex, List<LocalityState> learned) {}
}
