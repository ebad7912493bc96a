package juniperusher;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Guards against "Address already in use": another socket got the port that a test had picked and not yet bound. */
public class TestPortsTest {
    private static final int PICKED = 50;
    private static final int OTHERS = 2_000;

    @Test
    public void pickedPortIsGivenToNobodyElse() throws Exception {
        Set<Integer> picked = new HashSet<>();
        for (int i = 0; i < PICKED; i++) {
            assertTrue(picked.add(TestPorts.unused()), "picked twice");
        }
        List<ServerSocket> others = new ArrayList<>();
        try {
            for (int i = 0; i < OTHERS; i++) {
                ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                others.add(other);
                assertFalse(picked.contains(other.getLocalPort()), "the kernel handed out " + other.getLocalPort());
            }
        } finally {
            for (ServerSocket other : others) {
                other.close();
            }
        }
    }
}
