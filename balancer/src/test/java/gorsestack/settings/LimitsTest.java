package gorsestack.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

/** Compares every derived limit with its expected value, so that no limit changes unnoticed. */
class LimitsTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static Limits limits(int sockets, String settings) throws JsonProcessingException {
        return Limits.of(JSON.readTree("{\"sockets\":" + sockets + "}"), JSON.readTree(settings));
    }

    @Test
    void derivesEveryLimitWhenBalancerWatchesEndpoints() throws JsonProcessingException {
        Limits limits = limits(1024, """
                {
                  "membershipMode": "subscribe",
                  "limits": {"connectTimeout": 120.0, "connIdle": 4000.0},
                  "products": [
                    {"clientTimeout": 3000.0, "latencySlo": 400.0},
                    {"clientTimeout": 1500.0, "latencySlo": 1250.0}
                  ]
                }
                """);
        assertEquals(480, limits.client().maxConnections());
        assertEquals(488, limits.upstream().maxConnections());
        assertEquals(1024, limits.client().listenBacklog());
        assertEquals(8, limits.client().spareConnections());
        assertEquals(12, limits.admin().maxConnections());
        assertEquals(16384, limits.buffer().headBytes());
        assertEquals(65536, limits.buffer().bodyBytes());
        assertEquals(37748736L, limits.buffer().streamedBodyBytes());
        assertEquals(65536, limits.buffer().relayBytes());
        assertEquals(6291456, limits.buffer().totalRelayBytes());
        assertEquals(8388608, limits.buffer().totalRequestBytes());
        assertEquals(4096, limits.buffer().smallRequestBytes());
        assertEquals(8388608, limits.buffer().totalResponseBytes());
        assertEquals(131072, limits.buffer().sendBufferBytes());
        assertEquals(1048576, limits.buffer().unroutedBodyBytes());
        assertEquals(262144, limits.buffer().bufferedResponseBytes());
        assertEquals(8, limits.buffer().maxBufferedResponses());
        assertEquals(49152, limits.buffer().readAheadBytes());
        assertEquals(8388608, limits.buffer().discardBytes());
        assertEquals(4194304L, limits.buffer().totalReadAheadBytes());
        assertEquals(4194304, limits.buffer().discoveryLineBytes());
        assertEquals(120000000L, limits.upstream().connectTimeoutNanos());
        assertEquals(2000000000L, limits.upstream().maxConnectNanos());
        assertEquals(2800000000L, limits.upstream().idleTimeoutNanos());
        assertEquals(480000000L, limits.upstream().silenceThresholdNanos());
        assertEquals(4250000000L, limits.discovery().watchSilenceNanos());
        assertEquals(500000000L, limits.discovery().reconnectJitterNanos());
        assertEquals(1000000000L, limits.discovery().connectTimeoutNanos());
        assertEquals(4750000000L, limits.discovery().maxRetryDelayNanos());
        assertEquals(2250000000L, limits.discovery().firstUpdateTimeoutNanos());
        assertEquals(300000000L, limits.client().closeLingerNanos());
        assertEquals(2500000000L, limits.client().requestHeadTimeoutNanos());
        assertEquals(1500000000L, limits.client().stallTimeoutNanos());
        assertEquals(62500L, limits.client().maxNanosPerBodyByte());
        assertEquals(2000000000L, limits.client().idleTimeoutNanos());
        assertEquals(50000000L, limits.client().firstRequestGraceNanos());
        assertEquals(10000000L, limits.upstream().reuseDelayNanos());
        assertEquals(100000000L, limits.upstream().quarantineReuseDelayNanos());
        assertEquals(10000000000L, limits.upstream().quarantineNanos());
        assertEquals(250000000L, limits.upstream().bufferingTimeoutNanos());
        assertEquals(5000000000L, limits.upstream().streamStallTimeoutNanos());
        assertEquals(600000000L, limits.shutdown().acceptNanos());
        assertEquals(3025000000L, limits.shutdown().serveNanos());
        assertEquals(3650000000L, limits.shutdown().endNanos());
        assertEquals(60000000000L, limits.shutdown().responseNanos());
        assertEquals(5000000000L, limits.admin().requestTimeoutNanos());
        assertEquals(2500000000L, limits.client().evacuationIdleTimeoutNanos());
        assertEquals(250000000L, limits.call().sweepIntervalNanos());
        assertEquals(1000000000L, limits.call().warmUpNanos());
        assertEquals(2000000L, limits.call().deadlineBackstopNanos());
        assertEquals(25000000L, limits.call().responseMarginNanos());
        assertEquals(2000000000L, limits.upstream().drainGraceNanos());
        assertEquals(488, limits.client().maxAccepted());
    }

    @Test
    void derivesEveryLimitWhenListsArePushed() throws JsonProcessingException {
        Limits limits = limits(96, """
                {
                  "membershipMode": "automatic",
                  "limits": {"connectTimeout": 1500.5, "connIdle": 30000.0},
                  "rules": {"drainGrace": 2400.0},
                  "products": [{"clientTimeout": 4300.0, "latencySlo": 2200.0}]
                }
                """);
        assertEquals(16, limits.client().maxConnections());
        assertEquals(24, limits.upstream().maxConnections());
        assertEquals(1024, limits.client().listenBacklog());
        assertEquals(8, limits.client().spareConnections());
        assertEquals(12, limits.admin().maxConnections());
        assertEquals(16384, limits.buffer().headBytes());
        assertEquals(65536, limits.buffer().bodyBytes());
        assertEquals(37748736L, limits.buffer().streamedBodyBytes());
        assertEquals(65536, limits.buffer().relayBytes());
        assertEquals(6291456, limits.buffer().totalRelayBytes());
        assertEquals(8388608, limits.buffer().totalRequestBytes());
        assertEquals(4096, limits.buffer().smallRequestBytes());
        assertEquals(8388608, limits.buffer().totalResponseBytes());
        assertEquals(131072, limits.buffer().sendBufferBytes());
        assertEquals(1048576, limits.buffer().unroutedBodyBytes());
        assertEquals(262144, limits.buffer().bufferedResponseBytes());
        assertEquals(8, limits.buffer().maxBufferedResponses());
        assertEquals(49152, limits.buffer().readAheadBytes());
        assertEquals(8388608, limits.buffer().discardBytes());
        assertEquals(4194304L, limits.buffer().totalReadAheadBytes());
        assertEquals(4194304, limits.buffer().discoveryLineBytes());
        assertEquals(1500500000L, limits.upstream().connectTimeoutNanos());
        assertEquals(3001000000L, limits.upstream().maxConnectNanos());
        assertEquals(21000000000L, limits.upstream().idleTimeoutNanos());
        assertEquals(6002000000L, limits.upstream().silenceThresholdNanos());
        assertEquals(4250000000L, limits.discovery().watchSilenceNanos());
        assertEquals(500000000L, limits.discovery().reconnectJitterNanos());
        assertEquals(500000000L, limits.discovery().connectTimeoutNanos());
        assertEquals(1150000000L, limits.discovery().maxRetryDelayNanos());
        assertEquals(2250000000L, limits.discovery().firstUpdateTimeoutNanos());
        assertEquals(300000000L, limits.client().closeLingerNanos());
        assertEquals(2500000000L, limits.client().requestHeadTimeoutNanos());
        assertEquals(1500000000L, limits.client().stallTimeoutNanos());
        assertEquals(62500L, limits.client().maxNanosPerBodyByte());
        assertEquals(2000000000L, limits.client().idleTimeoutNanos());
        assertEquals(50000000L, limits.client().firstRequestGraceNanos());
        assertEquals(10000000L, limits.upstream().reuseDelayNanos());
        assertEquals(100000000L, limits.upstream().quarantineReuseDelayNanos());
        assertEquals(10000000000L, limits.upstream().quarantineNanos());
        assertEquals(250000000L, limits.upstream().bufferingTimeoutNanos());
        assertEquals(5000000000L, limits.upstream().streamStallTimeoutNanos());
        assertEquals(600000000L, limits.shutdown().acceptNanos());
        assertEquals(2550000000L, limits.shutdown().serveNanos());
        assertEquals(3650000000L, limits.shutdown().endNanos());
        assertEquals(60000000000L, limits.shutdown().responseNanos());
        assertEquals(5000000000L, limits.admin().requestTimeoutNanos());
        assertEquals(2500000000L, limits.client().evacuationIdleTimeoutNanos());
        assertEquals(250000000L, limits.call().sweepIntervalNanos());
        assertEquals(1000000000L, limits.call().warmUpNanos());
        assertEquals(2000000L, limits.call().deadlineBackstopNanos());
        assertEquals(25000000L, limits.call().responseMarginNanos());
        assertEquals(2400000000L, limits.upstream().drainGraceNanos());
        assertEquals(24, limits.client().maxAccepted());
    }
}
