package juniperusher.membership;

import java.net.InetSocketAddress;
import java.util.List;
import juniperusher.Protocol.TargetList;

/** Instruction of {@link Membership} to its adapter, which carries out steps in their order. */
public sealed interface Step {
    /**
     * Open a watch.
     *
     * @param watchNumber  number of the watch, unique in this process
     * @param address      address of discovery
     * @param fullList     request the full list once; otherwise request a stream of changes
     * @param afterVersion version of the list after which changes are requested
     */
    record Open(int watchNumber, InetSocketAddress address, boolean fullList, long afterVersion) implements Step {}

    /** Close the watch; data that still arrives on it is ignored. */
    record Abandon(int watchNumber) implements Step {}

    /**
     * Publish a new resolver result: make the snapshot current, then pass the changed targets to the decision
     * module, then close idle connections to former addresses.
     *
     * @param snapshot         the new state
     * @param changedTargets   targets that are new or have changed
     * @param vacatedEndpoints former endpoints that are gone or have moved
     */
    record Publish(Snapshot snapshot, TargetList changedTargets, List<Endpoint> vacatedEndpoints) implements Step {}
}
