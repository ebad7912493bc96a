package juniperusher.lab;

import juniperusher.lab.Plan.Notes;
import org.apache.commons.rng.UniformRandomProvider;

/** The network between relays, which loses, duplicates and delays notes. Not thread-safe. */
public final class NoteModel {
    private static final double MIN_DELAY_SECONDS = 0.0021;
    private static final double MAX_DELAY_SECONDS = 0.034;

    private final Notes notes;
    private final UniformRandomProvider random;

    /** Creates the network of a plan. */
    public NoteModel(Notes notes, UniformRandomProvider random) {
        this.notes = notes;
        this.random = random;
    }

    /** Draws the delays in seconds after which the copies of one note arrive; empty if it is lost. */
    public double[] copyDelays() {
        if (random.nextDouble() < notes.lostShare()) {
            return new double[0];
        }
        double[] delays = new double[random.nextDouble() < notes.duplicatedShare() ? 2 : 1];
        for (int i = 0; i < delays.length; i++) {
            delays[i] = MIN_DELAY_SECONDS
                    + random.nextDouble() * (MAX_DELAY_SECONDS - MIN_DELAY_SECONDS)
                    + (random.nextDouble() < notes.lateShare() ? notes.extraDelay() : 0);
        }
        return delays;
    }
}
