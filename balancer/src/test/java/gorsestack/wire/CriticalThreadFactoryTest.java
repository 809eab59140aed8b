package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays without its sockets' thread: it accepts connections and never answers. */
class CriticalThreadFactoryTest {
    @Test
    void endsTheProcessWhenAThreadEndsWithAnError() throws InterruptedException {
        BlockingQueue<Integer> exitCodes = new LinkedBlockingQueue<>();
        ExecutorService threads = Executors.newCachedThreadPool(new CriticalThreadFactory("io", exitCodes::add));
        threads.execute(() -> {
            throw new OutOfMemoryError("an injected fault");
        });
        assertEquals(CriticalThreadFactory.EXIT_CODE, exitCodes.poll(10, TimeUnit.SECONDS));
        threads.execute(() -> {});
        threads.shutdown();
        threads.awaitTermination(10, TimeUnit.SECONDS);
        assertEquals(0, exitCodes.size(), "a thread that ends in order ends nothing else");
    }
}
