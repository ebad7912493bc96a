package juniperusher.fleet;

/**
 * Calls a state machine when it is due. A due time that moves to later costs nothing until the earlier one has come,
 * so that a machine which hears something often is not a timer each time.
 */
final class DueTimer {
    private final EventLoop loop;
    private final Runnable tick;
    private EventLoop.Timer timer;
    private double timerAt = Double.POSITIVE_INFINITY;
    private double due = Double.POSITIVE_INFINITY;

    DueTimer(EventLoop loop, Runnable tick) {
        this.loop = loop;
        this.tick = tick;
    }

    /** The machine is due at that time now; infinite for never. */
    void at(double time) {
        due = time;
        if (due >= timerAt || due == Double.POSITIVE_INFINITY) {
            return;
        }
        cancel();
        timerAt = due;
        timer = loop.schedule(due - loop.now(), this::fire);
    }

    private void fire() {
        timer = null;
        timerAt = Double.POSITIVE_INFINITY;
        if (loop.now() >= due) {
            tick.run();
        } else {
            at(due);
        }
    }

    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
            timerAt = Double.POSITIVE_INFINITY;
        }
    }
}
