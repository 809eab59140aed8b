package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.endpoint;
import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.wire.WatchEvent;
import gorsestack.wire.WatchMessages;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the watch of the endpoint list and the effect of changes to the list. */
class EndpointWatchTest {
    /** Rule 3: a balancer must be notified of a drain, but a watch on a broken connection stays silent forever. */
    @Test
    void reopensAWatchThatHasBecomeSilent() throws IOException {
        DispatcherRig rig = DispatcherRig.withWatch(1);
        FakeSocket first = rig.watch();
        rig.sendWatchLine("{\"index\":43,\"snapshot\":false,\"endpoints\":[]}");
        rig.advance(4_000);
        rig.sendWatchLine("");
        rig.advance(4_200);
        assertTrue(rig.watch() == first && first.open());
        rig.advance(700);
        assertFalse(first.open());
        assertTrue(rig.watch().output.startsWith("GET /catalog/members?watch=1&after=43 "), rig.watch().output);
        rig.watch().queueDisconnect();
        rig.advance(1_000);
        FakeSocket failed = rig.watch();
        rig.advance(7_000);
        assertTrue(rig.watch() != failed, "the watch is reopened when the retry is due");
    }

    /**
     * Rule 3: a watch request without a response is not a refusal. A change that the watch misses counts as notified 6 s after it became
     * silent.
     */
    @Test
    void reopensAWatchWhoseRequestGetsNoResponse() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        rig.advance(2_100);
        FakeSocket first = rig.watch();
        assertTrue(first.output.startsWith("GET /catalog/members?watch=1&after=41 "));
        rig.advance(2_000);
        assertTrue(rig.watch() == first && first.open(), "not yet");
        rig.advance(2_700);
        assertFalse(first.open());
        assertTrue(rig.watch() != first && rig.watch().output.startsWith("GET /catalog/members?watch=1&after=41 "));
    }

    @Test
    void appliesDrainsAndNewAddressesDespiteMalformedLines() throws IOException {
        DispatcherRig rig = DispatcherRig.withWatch(2);
        for (int i = 0; i < 2; i++) {
            rig.client().send(request("read", "c" + i));
            rig.lastUsed().sendOk("x");
        }
        List<FakeSocket> before = rig.upstreamConnections();
        rig.sendWatchLine(
                "{\"index\":44,\"endpoints\":[{\"name\":5},{\"name\":\"\"},{\"name\":\"s9\",\"address\":\"host:80\",\"status\":"
                        + "\"in_service\"}," + endpoint(1, "terminating") + ","
                        + endpoint(2, "in_service").replace("1.2:80", "1.7:81") + "]}");
        assertTrue(before.stream().noneMatch(FakeSocket::open), "one upstream drains, one has a new address");
        for (int i = 0; i < 6; i++) {
            rig.client().send(request("read", "d" + i));
            assertEquals("/127.0.1.7:81", rig.lastUsed().remoteAddress.toString());
        }
        FakeSocket watch = rig.watch();
        rig.sendWatchLine("no json");
        assertFalse(watch.open());
        rig.advance(600);
        assertTrue(rig.watch().open() && rig.watch().output.contains("after=44 "), "no update is skipped");
    }

    @Test
    void parsesAWatchLineSplitAtEveryByte() throws IOException {
        String line = "{\"index\":44,\"snapshot\":false,\"endpoints\":[" + endpoint(1, "terminated") + "]}\n";
        String chunk = WatchMessages.chunk(line);
        for (int cut = 1; cut < chunk.length(); cut++) {
            DispatcherRig rig = DispatcherRig.withWatch(2);
            rig.watch().send(chunk.substring(0, cut));
            rig.watch().send(chunk.substring(cut));
            assertTrue(rig.watch().open());
            for (int i = 0; i < 4; i++) {
                rig.client().send(request("read", "c" + i));
                assertEquals("/127.0.1.2:80", rig.lastUsed().remoteAddress.toString());
            }
        }
    }

    /** After SIGHUP sets another discovery address, the index counts versions of another list, and the old watch ends soon. */
    @Test
    void switchesToANewDiscoveryAddressOnceItHasSentAList() throws IOException {
        DispatcherRig rig = DispatcherRig.withWatch(2);
        FakeSocket old = rig.watch();
        rig.dispatcher.moveToDiscovery(WatchEvent.address("127.0.0.1:8501"));
        rig.runPending();
        FakeSocket refused = rig.lastTo(8501);
        assertTrue(old.open() && refused.output.contains("after=0 "), "no list received from the new address yet");
        refused.queueDisconnect();
        old.queueDisconnect();
        rig.advance(600);
        FakeSocket silent = rig.lastTo(8501);
        assertTrue(silent != refused, "the watch is reopened soon, although the new address has sent nothing");
        rig.advance(4_000 - 750 - 600);
        FakeSocket next = rig.lastTo(8501);
        assertTrue(
                next != silent && !silent.open(),
                "a silent watch is replaced in time for a list 4 s after SIGHUP, of which a response may take 750 ms");
        assertEquals(
                1,
                rig.connections.stream()
                        .filter(socket -> socket.remoteAddress.equals(DispatcherRig.DISCOVERY))
                        .count(),
                "the old address is not used again");
        next.send(WatchMessages.RESPONSE_HEAD);
        String line = "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + endpoint(2, "in_service") + "]}\n";
        next.send(WatchMessages.chunk(line));
        for (int i = 0; i < 4; i++) {
            rig.client().send(request("read", "c" + i));
            assertEquals("/127.0.1.2:80", rig.lastUsed().remoteAddress.toString());
        }
        next.queueDisconnect();
        rig.advance(600);
        assertTrue(rig.lastTo(8501).output.contains("after=3 "), rig.lastTo(8501).output);
    }

    /**
     * Guards against a new discovery that is never followed after SIGHUP, so that drains are missed for good: each watch was given up before
     * the response to it came.
     */
    @Test
    void followsANewDiscoveryWhoseResponsesAreSlow() throws IOException {
        for (int responseMillis : new int[] {1_300, 1_600, 2_000, 2_500, 4_000}) {
            DispatcherRig rig = DispatcherRig.withWatch(2);
            rig.dispatcher.moveToDiscovery(WatchEvent.address("127.0.0.1:8501"));
            rig.runPending();
            FakeSocket watch = rig.lastTo(8501);
            int waitedMillis = 0;
            for (int elapsed = 0; elapsed < 20_000 && waitedMillis < responseMillis; elapsed += 50) {
                rig.advance(50);
                waitedMillis = rig.lastTo(8501) == watch && watch.open() ? waitedMillis + 50 : 0;
                watch = rig.lastTo(8501);
            }
            assertTrue(
                    waitedMillis >= responseMillis,
                    "a watch whose response takes " + responseMillis + " ms is awaited");
            watch.send(WatchMessages.RESPONSE_HEAD);
            watch.send(WatchMessages.chunk(
                    "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + endpoint(2, "in_service") + "]}\n"));
            for (int i = 0; i < 4; i++) {
                rig.client().send(request("read", "c" + i));
                assertEquals("/127.0.1.2:80", rig.lastUsed().remoteAddress.toString());
            }
        }
    }

    /** Prevents a new upstream at the address of a removed one from inheriting its connections or its history. */
    @Test
    void dropsConnectionsAndHistoryOfARemovedUpstream() throws IOException {
        DispatcherRig rig = DispatcherRig.withWatch(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c"));
        FakeSocket old = rig.lastUsed();
        rig.sendWatchLine("{\"index\":44,\"endpoints\":[" + endpoint(1, "terminated") + ","
                + endpoint(1, "in_service").replace("\"s1\"", "\"t1\"") + "]}");
        old.sendOk("c");
        expectResponse(200, client);
        assertFalse(old.open(), "the connection is not reused");
        rig.advance(50);
        client.send(request("once", "d"));
        assertTrue(rig.lastUsed() != old && rig.lastUsed().remoteAddress.equals(old.remoteAddress));
        rig.lastUsed().sendOk("d");
        expectResponse(200, client);
    }
}
