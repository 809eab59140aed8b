/** Scenario files: the model of a scenario, and the reader that validates each key. */
package gorsestack.lab.scenario;
