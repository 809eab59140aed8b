/** Checks the settings of a deployment, reads them into the policy's settings, and derives the limits of this program from them. */
package gorsestack.settings;
