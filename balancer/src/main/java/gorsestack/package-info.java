/** The entry point of the program and its command line. */
package gorsestack;
