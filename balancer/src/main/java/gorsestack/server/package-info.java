/**
 * Assembles one balancer process: configuration, start, JVM warm-up, reload at SIGHUP and graceful shutdown at SIGTERM or SIGINT. Only the
 * command line depends on this package.
 */
package gorsestack.server;
