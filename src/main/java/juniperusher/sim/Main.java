package juniperusher.sim;

import java.io.BufferedInputStream;
import java.io.IOException;

/** Command line of the jar: {@code simhost} hosts instances of the decision module on the simulator's
 * wire. */
public final class Main {
    private Main() {
    }

    /** Runs the command named by the arguments; exits 2 on an unknown one and 1 on bad input. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar juniperusher.jar simhost");
            System.exit(2);
        }
        try {
            new Host().serve(new BufferedInputStream(System.in, 1 << 16), System.out);
        } catch (WireException e) {
            System.err.println("simhost: " + e.getMessage());
            System.exit(1);
        }
    }
}
