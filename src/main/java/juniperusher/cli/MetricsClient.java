package juniperusher.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import juniperusher.core.CallEnd;
import juniperusher.net.HttpMessage;
import juniperusher.net.HttpPool;
import juniperusher.net.Network;

/** Reads the counters of a running relay over HTTP. */
final class MetricsClient {
    private static final double TIMEOUT_SECONDS = 3.0;

    private MetricsClient() {}

    /**
     * Returns the counters in the Prometheus text format.
     *
     * @throws IOException if the relay cannot be reached, does not answer in time or answers with an error
     */
    static String fetchCounters(InetSocketAddress address) throws IOException {
        CompletableFuture<HttpMessage> answer = new CompletableFuture<>();
        try (Network network = new Network(TIMEOUT_SECONDS)) {
            new HttpPool(network, TIMEOUT_SECONDS, 1)
                    .exchange(
                            address,
                            HttpMessage.request("GET", "/metrics", new byte[0], "Host", "relay"),
                            () -> true,
                            new HttpPool.Listener() {
                                @Override
                                public void answered(HttpMessage response) {
                                    answer.complete(response);
                                }

                                @Override
                                public void ended(CallEnd end, int statusLineCode) {
                                    answer.completeExceptionally(new IOException("no answer from " + address + ": "
                                            + end.name().toLowerCase(java.util.Locale.ROOT)));
                                }
                            });
            HttpMessage response = answer.get((long) (TIMEOUT_SECONDS * 1000), TimeUnit.MILLISECONDS);
            if (response.status() != 200) {
                throw new IOException(address + " answers " + response.status());
            }
            return response.bodyText();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        } catch (TimeoutException e) {
            throw new IOException("no answer from " + address + " within " + TIMEOUT_SECONDS + " s", e);
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e.toString(), e);
        }
    }
}
