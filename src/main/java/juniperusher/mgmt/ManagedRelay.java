package juniperusher.mgmt;

/** The relay as the operators' calls see it. Implementations are thread-safe. */
public interface ManagedRelay {
    /** The result of entering or leaving maintenance. */
    enum MaintenanceResult {
        /** The call has taken effect, or already had. */
        DONE,
        /** Discovery has never listed an endpoint with this id. */
        UNKNOWN,
        /** The relay is still starting. */
        NOT_NOW
    }

    /** Whether this process serves clients at present. */
    boolean isServing();

    /** Puts the endpoint under maintenance: after the return no new calls go to it, until {@link #exitMaintenance}. */
    MaintenanceResult enterMaintenance(String id);

    /** Ends the maintenance of the endpoint, so that calls may go to it again. */
    MaintenanceResult exitMaintenance(String id);

    /** Stands for a relay that is still starting: it does not serve, and maintenance calls are refused. */
    ManagedRelay STARTING = new ManagedRelay() {
        @Override
        public boolean isServing() {
            return false;
        }

        @Override
        public MaintenanceResult enterMaintenance(String id) {
            return MaintenanceResult.NOT_NOW;
        }

        @Override
        public MaintenanceResult exitMaintenance(String id) {
            return MaintenanceResult.NOT_NOW;
        }
    };
}
