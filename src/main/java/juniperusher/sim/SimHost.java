package juniperusher.sim;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** The simulator's adapter as the command line starts it. */
public final class SimHost {
    private SimHost() {}

    /** Answers batches until the input ends; 0, or 1 after a line about input that cannot be read. */
    public static int run(InputStream in, OutputStream out) throws IOException {
        try {
            new BatchServer().serve(new BufferedInputStream(in, 1 << 16), out);
            return 0;
        } catch (WireException e) {
            System.err.println("simhost: " + e.getMessage());
            return 1;
        }
    }
}
