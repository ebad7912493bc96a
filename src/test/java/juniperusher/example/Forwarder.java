package juniperusher.example;

import java.util.List;
import juniperusher.Control;
import juniperusher.Protocol.Action;
import juniperusher.Protocol.AttemptEnded;
import juniperusher.Protocol.Event;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Message;
import juniperusher.Protocol.MessageAccepted;
import juniperusher.Protocol.Outcome;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SetTimer;
import juniperusher.Protocol.Settings;
import juniperusher.Protocol.TargetList;

/** The embedding example of the README, kept here so that it is compiled. */
public final class Forwarder {
    private final Control control;

    /** Creates a forwarder with its settings and a seed of its own. */
    public Forwarder(Settings settings, long seed) {
        control = new Control(settings, seed);
    }

    /** Runs one round: passes the events on and carries out the actions. */
    public void round(double now, List<Event> events) {
        for (Action action : control.decide(now, events)) {
            if (action instanceof Send send) {
                System.out.println("call target " + send.target() + " with message " + send.message());
            } else if (action instanceof Refuse refuse) {
                System.out.println("message " + refuse.message() + ": come again after " + refuse.retryAfter() + " s");
            } else if (action instanceof Fail fail) {
                System.out.println("message " + fail.message() + " failed");
            } else if (action instanceof SetTimer timer) {
                System.out.println("wake at " + timer.time() + " with token " + timer.token());
            }
        }
    }

    /** Accepts a message that is sent and delivered. */
    public void example(TargetList list) {
        round(0.0, List.of(list, new MessageAccepted(new Message(1, 0, 0, 7, 0L, 20.0))));
        round(0.2, List.of(new AttemptEnded(1, 0, 70, Outcome.DELIVERED, 0.2, true, 0, null)));
    }
}
