package juniperusher.ownership;

import juniperusher.store.Request;

/** Instruction of a {@link Lease} to its adapter, which carries out steps in their order. */
public sealed interface Step {
    /** Send the request to the store and pass its answer, if any, to the lease with this number. */
    record SendRequest(int number, Request request) implements Step {}

    /** This process owns the resource from now on, or again after {@link Uncertain}. */
    record Acquired(Holding holding) implements Step {}

    /** The lease may have ended: begin no action under this holding until {@link Acquired} or {@link Lost}. */
    record Uncertain(Holding holding) implements Step {}

    /** The holding has ended for good; another process may own the resource. */
    record Lost(Holding holding) implements Step {}
}
