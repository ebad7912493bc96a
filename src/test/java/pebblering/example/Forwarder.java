package pebblering.example;

import java.util.List;
import pebblering.Control;
import pebblering.Protocol.Action;
import pebblering.Protocol.Arrived;
import pebblering.Protocol.Ended;
import pebblering.Protocol.Event;
import pebblering.Protocol.Fail;
import pebblering.Protocol.Message;
import pebblering.Protocol.Outcome;
import pebblering.Protocol.Refuse;
import pebblering.Protocol.Send;
import pebblering.Protocol.Settings;
import pebblering.Protocol.TargetList;
import pebblering.Protocol.WakeAt;

/** The embedding example of the README, kept compiling here. */
public final class Forwarder {
    private final Control control;

    /** A forwarder with its settings and a seed of its own. */
    public Forwarder(Settings settings, long seed) {
        control = new Control(settings, seed);
    }

    /** One round: hand over what has happened, carry out what is decided. */
    public void round(double now, List<Event> events) {
        for (Action action : control.decide(now, events)) {
            if (action instanceof Send send) {
                System.out.println("call target " + send.target() + " with message " + send.message());
            } else if (action instanceof Refuse refuse) {
                System.out.println("message " + refuse.message() + ": come again after " + refuse.after()
                        + " s");
            } else if (action instanceof Fail fail) {
                System.out.println("message " + fail.message() + " failed");
            } else if (action instanceof WakeAt wake) {
                System.out.println("wake at " + wake.time() + " with token " + wake.token());
            }
        }
    }

    /** A message arrives, is sent and delivered. */
    public void example(TargetList list) {
        round(0.0, List.of(list, new Arrived(new Message(1, 0, 0, 7, 0L, 20.0))));
        round(0.2, List.of(new Ended(1, 0, 70, Outcome.DELIVERED, 0.2, true, 0, null)));
    }
}
