package gorsestack.decision;

/**
 * The quota of the fleet's budgets that this process may use, as no balancer sees what the others send. Shared by the classes of this
 * package on the policy's thread.
 */
final class FleetQuota {
    /** Number of balancers in the tier. */
    final int instances;
    /** This balancer's fraction of its own locality's budgets: the balancers of a zone share the zone's upstreams. */
    final double ofOwnLocality;
    /** This process's fraction of the balancer's budgets: 1, or 0.5 while another process of the balancer runs in an upgrade. */
    double processQuota = 1;

    FleetQuota(Settings settings) {
        instances = settings.instances();
        ofOwnLocality = Math.min(1, Math.max(1.0, settings.zones().size()) / instances);
    }

    /** Returns this balancer's fraction of a locality's budgets; 0 is its own locality, and all balancers share the others. */
    double ofLocality(int locality) {
        return locality == 0 ? ofOwnLocality : 1.0 / instances;
    }
}
