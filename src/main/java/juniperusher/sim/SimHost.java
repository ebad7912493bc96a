package juniperusher.sim;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** Entry point of the adapter that runs decision modules for the simulator. */
public final class SimHost {
    private SimHost() {}

    /**
     * Answers batches until the input ends.
     *
     * @return the exit code: 0, or 1 if the input is malformed, which is reported on standard error
     * @throws IOException if reading or writing fails
     */
    public static int run(InputStream in, OutputStream out) throws IOException {
        try {
            new BatchServer().serve(new BufferedInputStream(in, 1 << 16), out);
            return 0;
        } catch (MalformedInputException e) {
            System.err.println("simhost: " + e.getMessage());
            return 1;
        }
    }
}
