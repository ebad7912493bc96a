package juniperusher.amqp;

import java.io.Closeable;
import java.util.List;
import juniperusher.Protocol.DestinationKind;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.Target;
import juniperusher.core.Counters;
import juniperusher.core.Extension;
import juniperusher.core.Relay;
import juniperusher.core.Subchannels;
import juniperusher.net.Network;

/** Adds an AMQP 0-9-1 front and AMQP brokers as destinations to a relay. */
public final class AmqpExtension implements Extension {
    private final AmqpConfig config;
    private final List<String> classNames;
    private final Settings settings;
    private final Network network;
    private final AmqpSubchannels subchannels;
    private AmqpFront front;
    private Closeable listener;

    /**
     * Creates the extension without opening any connection.
     *
     * @param config     listen address and brokers
     * @param classNames names of the message classes, in the order of the settings
     * @param settings   settings of the relay
     * @param network    network that connections use
     * @param counters   counts input of brokers that belongs to no order
     */
    public AmqpExtension(
            AmqpConfig config, List<String> classNames, Settings settings, Network network, Counters counters) {
        this.config = config;
        this.classNames = classNames;
        this.settings = settings;
        this.network = network;
        subchannels = new AmqpSubchannels(config, network, counters);
    }

    @Override
    public List<Target> targets() {
        // Brokers are targets of the first kind that takes one message per call.
        int singleMessageKind = settings.kinds().stream()
                .map(DestinationKind::maxBatch)
                .toList()
                .indexOf(1);
        return subchannels.targets(Math.max(0, singleMessageKind));
    }

    @Override
    public Subchannels subchannels() {
        return subchannels;
    }

    @Override
    public void registerFront(Relay relay) {
        front = new AmqpFront(config, classNames, settings.classes(), relay);
        relay.addFront(front);
    }

    @Override
    public void startAccepting() throws Exception {
        if (config.listen() != null) {
            listener = front.listen(network);
        }
    }

    @Override
    public void close() throws Exception {
        if (listener != null) {
            listener.close();
        }
    }
}
