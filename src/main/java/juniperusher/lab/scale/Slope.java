package juniperusher.lab.scale;

import java.io.IOException;

/** One cost of a relay as a function of one size. Implementations hold no state between measurements. */
public interface Slope {
    /** What the experiment file calls it. */
    String name();

    /** The unit of {@link #measure}: {@code B} for bytes, {@code ns} for processor time. */
    String unit();

    /** What the size counts, in the singular. */
    String per();

    /**
     * Builds what is measured at this size and measures it once.
     *
     * @param size how many of {@link #per} there are, above 0
     * @return the cost in {@link #unit}
     * @throws IOException if a file that the measurement needs cannot be written or read
     */
    double measure(int size) throws IOException;
}
