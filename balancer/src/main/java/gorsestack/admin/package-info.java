/** HTTP interface for operators, and the handover of state between two processes of one balancer during an upgrade. */
package gorsestack.admin;
