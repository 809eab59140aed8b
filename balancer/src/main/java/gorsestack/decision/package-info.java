/**
 * Makes the decisions of one balancer, without I/O, clock or threads. {@link gorsestack.decision.BalancingPolicy} receives the inputs and
 * applies the rules; each mechanism is a separate class with its own state. {@link gorsestack.decision.FleetMembership} applies the
 * changes that discovery and operators make; {@link gorsestack.decision.UpstreamTable} and {@link gorsestack.decision.Locality} hold the
 * state of upstreams, {@link gorsestack.decision.CallState} that of a call. All randomness comes from one seeded generator in a fixed
 * order, so equal inputs give equal decisions.
 *
 * <p>Terms: each product has a latency <i>objective</i> (SLO), and latencies are kept as ratios to it. An upstream is <i>ejected</i> while
 * it is considered unhealthy, and <i>warming up</i> during slow start.
 *
 * <p>Comments refer to four rules by number. Rule 1: every call that was accepted gets exactly one final response before the client's
 * timeout, and nothing is sent for it after that. Rule 2: no call is executed twice unless its product permits that. Rule 3: an upstream
 * that is draining, removed or in maintenance is sent no new requests. Rule 4: all balancers together never overload an upstream that has
 * just started.
 */
package gorsestack.decision;
