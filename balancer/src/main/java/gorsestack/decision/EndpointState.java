package gorsestack.decision;

/** The state of an endpoint as discovery reports it. */
public enum EndpointState {
    /** The endpoint is in service. */
    READY,
    /** The endpoint accepts no new requests and finishes those in flight. */
    DRAINING,
    /** The endpoint has been removed from the list. */
    GONE
}
