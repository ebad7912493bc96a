package juniperusher.lab;

import java.util.ArrayList;
import java.util.List;
import juniperusher.Protocol.MessageClass;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What the clients of all destinations ask for: each next message with its class, tenant, key and relay. It is the same
 * whatever becomes of the messages, and the same in variants that differ in what relays are told.
 */
public final class Demand {
    private final Plan plan;
    private final List<MessageClass> classes;
    private final List<ClientModel> clients = new ArrayList<>();
    private final List<UniformRandomProvider> traits = new ArrayList<>(); // by destination
    private final KeyModel keys;

    /** The demand of a plan's clients. */
    public Demand(Plan plan) {
        this.plan = plan;
        classes = LabSettings.classes(plan);
        for (int i = 0; i < plan.destinations().size(); i++) {
            clients.add(plan.clients(i));
            traits.add(plan.traits(i));
        }
        keys = plan.keyModel();
    }

    /** s from one message for a destination to the next. */
    public double gap(int destination) {
        return clients.get(destination).gap(plan.asked(destination));
    }

    /** The next message for a destination, asked for at that time; times may not go back by much. */
    public Wish next(int destination, double from) {
        ClientModel model = clients.get(destination);
        boolean order = model.order();
        int relay = model.relay(plan.relays().count());
        UniformRandomProvider random = traits.get(destination);
        int tenant = tenant(random.nextDouble());
        boolean sequenced = random.nextDouble() < plan.sequenced().share();
        boolean keyed = random.nextDouble() < plan.sequenced().keyed();
        int messageClass =
                sequenced ? LabSettings.SEQUENCED : order ? LabSettings.UNREPEATABLE : LabSettings.REPEATABLE;
        double until = from + classes.get(messageClass).deadline();
        if (!sequenced) {
            return new Wish(destination, messageClass, tenant, relay, 0, from, until);
        }
        KeyModel.Key key = keys.next(from);
        return new Wish(destination, messageClass, tenant, key.relay(), keyed ? key.number() : 0, from, until);
    }

    /** The tenant at that point of the traffic of all, from 0 to 1. */
    private int tenant(double point) {
        double left = point * plan.usage();
        for (int i = 0; i < plan.tenants().size(); i++) {
            left -= plan.tenants().get(i).traffic();
            if (left < 0) {
                return i;
            }
        }
        return Math.max(0, plan.tenants().size() - 1); // rounding
    }

    /** Whether and when the clients of a destination come again. */
    public ClientModel clients(int destination) {
        return clients.get(destination);
    }
}
