package juniperusher.fleet;

/**
 * Calls a state machine at its due time. When the due time moves to a later one, the scheduled timer is kept and checks
 * the due time when it expires. A machine whose due time moves with every message therefore needs no new timer per
 * message.
 */
final class DueTimer {
    private final EventLoop loop;
    private final Runnable tick;
    private EventLoop.Timer timer;
    private double timerDue = Double.POSITIVE_INFINITY;
    private double due = Double.POSITIVE_INFINITY;

    DueTimer(EventLoop loop, Runnable tick) {
        this.loop = loop;
        this.tick = tick;
    }

    /** Sets the due time, in seconds of the loop's clock; infinity for never. */
    void setDue(double time) {
        due = time;
        if (due >= timerDue || due == Double.POSITIVE_INFINITY) {
            return;
        }
        cancel();
        timerDue = due;
        timer = loop.schedule(due - loop.now(), this::timerExpired);
    }

    private void timerExpired() {
        timer = null;
        timerDue = Double.POSITIVE_INFINITY;
        if (loop.now() >= due) {
            tick.run();
        } else {
            setDue(due);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
            timerDue = Double.POSITIVE_INFINITY;
        }
    }
}
