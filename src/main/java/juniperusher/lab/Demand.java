package juniperusher.lab;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.MessageClass;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates the messages that the clients of all destinations request, each with its class, tenant, key and relay. The
 * sequence does not depend on the outcome of earlier messages, nor on whether relays know about keys and tenants, so
 * variants of an experiment can be compared. Not thread-safe.
 */
public final class Demand {
    private final Plan plan;
    private final List<MessageClass> classes;
    private final List<ClientModel> clientModels = new ArrayList<>();
    private final List<UniformRandomProvider> traitRandoms = new ArrayList<>(); // by destination
    private final KeyModel keyModel;

    /** Creates the demand of the clients in a plan. */
    public Demand(Plan plan) {
        this.plan = plan;
        classes = LabSettings.classes(plan);
        for (int i = 0; i < plan.destinations().size(); i++) {
            clientModels.add(plan.clientModel(i));
            traitRandoms.add(plan.traitRandom(i));
        }
        keyModel = plan.keyModel();
    }

    /** Draws the time to the next message for a destination, in seconds. */
    public double nextGap(int destination) {
        return clientModels.get(destination).nextGap(plan.requestRate(destination));
    }

    /**
     * Creates the next message for a destination.
     *
     * @param requestedAt s from the start of the run; must not decrease, except slightly between destinations
     */
    public ClientMessage nextMessage(int destination, double requestedAt) {
        ClientModel model = clientModels.get(destination);
        boolean order = model.nextIsOrder();
        int relay = model.nextRelay(plan.relays().count());
        UniformRandomProvider random = traitRandoms.get(destination);
        int tenant = tenantAt(random.nextDouble());
        boolean sequenced = random.nextDouble() < plan.sequenced().share();
        boolean keyed = random.nextDouble() < plan.sequenced().keyedShare();
        int messageClass =
                sequenced ? LabSettings.SEQUENCED_INDEX : order ? LabSettings.ORDER_INDEX : LabSettings.NOTICE_INDEX;
        double deadline = requestedAt + classes.get(messageClass).deadline();
        if (!sequenced) {
            return new ClientMessage(destination, messageClass, tenant, relay, 0, requestedAt, deadline);
        }
        KeyModel.Key key = keyModel.nextKey(requestedAt);
        return new ClientMessage(
                destination, messageClass, tenant, key.relay(), keyed ? key.number() : 0, requestedAt, deadline);
    }

    /** Selects a tenant in proportion to its traffic; {@code point} is uniform from 0 to 1. */
    private int tenantAt(double point) {
        double remaining = point * plan.totalUsage();
        for (int i = 0; i < plan.tenants().size(); i++) {
            remaining -= plan.tenants().get(i).traffic();
            if (remaining < 0) {
                return i;
            }
        }
        return Math.max(0, plan.tenants().size() - 1); // reached only through rounding errors
    }

    /** The model of a destination's clients, which decides whether and when they resubmit. */
    public ClientModel clientModel(int destination) {
        return clientModels.get(destination);
    }
}
