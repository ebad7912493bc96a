package juniperusher.core;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import juniperusher.Control;
import juniperusher.Protocol.TimerFired;
import juniperusher.http.Config;
import org.testng.annotations.Test;

/** Timing of the decision loop. */
public class DecisionLoopTest {
    @Test
    public void deferredEventIsCreatedWhenTheRoundStarts() throws Exception {
        var settings = Config.read(CallsTest.configFile()).parsedSettings().settings();
        DecisionLoop loop = new DecisionLoop(new Control(settings, 1), null, 0.005, actions -> {});
        CompletableFuture<Long> createdNanos = new CompletableFuture<>();
        loop.postDeferred(() -> {
            createdNanos.complete(System.nanoTime());
            return new TimerFired(-5);
        });
        Thread.sleep(30); // the decision thread is busy
        long startedNanos = System.nanoTime();
        Thread thread = new Thread(loop);
        thread.start();
        assertTrue(createdNanos.get(2, TimeUnit.SECONDS) - startedNanos >= 0, "created when it was posted");
        loop.stop();
        thread.join(2_000);
        assertTrue(!thread.isAlive(), "the loop did not stop");
    }
}
