package juniperusher.core;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import juniperusher.Protocol.Target;

/**
 * Routes each call to the transport of its endpoint: the extension's for endpoints of the extension, else the
 * platform's.
 */
public final class RoutedSubchannels implements Subchannels {
    private final Subchannels platformSubchannels;
    private final Extension extension;
    private final Set<Integer> extensionTargets;

    /** Takes the list of the extension's endpoints, which must not change afterwards. */
    public RoutedSubchannels(Subchannels platformSubchannels, Extension extension) {
        this.platformSubchannels = platformSubchannels;
        this.extension = extension;
        extensionTargets = extension.targets().stream().map(Target::id).collect(Collectors.toSet());
    }

    private Subchannels subchannelsFor(Target target) {
        return extensionTargets.contains(target.id()) ? extension.subchannels() : platformSubchannels;
    }

    @Override
    public Call call(
            Target subchannel,
            List<RpcRequest> rpcs,
            double timeoutSeconds,
            StartPermission permission,
            ResultListener resultListener) {
        return subchannelsFor(subchannel).call(subchannel, rpcs, timeoutSeconds, permission, resultListener);
    }

    @Override
    public boolean mayShareCall(Target subchannel, List<RpcRequest> rpcs) {
        return subchannelsFor(subchannel).mayShareCall(subchannel, rpcs);
    }

    @Override
    public void probe(Target subchannel, ProbeListener probeListener) {
        subchannelsFor(subchannel).probe(subchannel, probeListener);
    }

    @Override
    public void closeIdle(Target subchannel) {
        subchannelsFor(subchannel).closeIdle(subchannel);
    }
}
