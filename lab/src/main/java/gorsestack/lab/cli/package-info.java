/**
 * The commands of the lab, with one class per command, and the options that they share.
 */
package gorsestack.lab.cli;
