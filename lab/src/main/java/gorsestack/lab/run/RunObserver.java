package gorsestack.lab.run;

import gorsestack.lab.net.Addresses;
import gorsestack.lab.process.BalancerFleet;

/** A listener for the phases of a run, which may inspect the balancers from outside; called on the thread of the run. */
public interface RunObserver {
    /** Notifies the observer that all balancers are ready and the load is about to start. */
    default void fleetReady(Addresses addresses, BalancerFleet fleet) {}

    /** Notifies the observer that the load has ended and the balancers are about to be terminated. */
    default void beforeStop(BalancerFleet fleet) {}
}
