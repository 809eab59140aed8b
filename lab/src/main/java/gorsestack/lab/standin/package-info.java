/**
 * Stand-ins for everything with which the balancers communicate: upstreams, discovery, front proxies, and well-behaved and misbehaving
 * clients. All of them run on one event loop.
 */
package gorsestack.lab.standin;
