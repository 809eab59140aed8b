package gorsestack.lab.verify;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.github.luben.zstd.ZstdInputStream;
import com.github.luben.zstd.ZstdOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the stored form of records. Guards against files that become unreadable because a class or component was renamed. */
class RecordsTest {
    private static final String STORED = """
            {"id":"c1t0","key":"k1","product":"read","tier":0,"upstream":2,"zone":"a","cell":1,"balancer":3,"begun":10,"last":11,"outcome":"served","ran":true,"answered":12,"is":"Attempt"}
            {"upstream":2,"status":"terminating","at":13,"is":"Change"}
            {"balancer":3,"upstream":2,"at":14,"is":"Connect"}
            {"balancer":3,"id":"c1t0","at":15,"is":"Extra"}
            {"upstream":2,"at":16,"offered":300.5,"able":100.25,"is":"Fell"}
            {"fault":0,"label":"drop n3 to u2","from":17,"until":18,"whom":["n3>u2"],"measured":true,"is":"Happened"}
            {"p50":1,"p99":2,"most":3,"is":"Lab"}
            {"id":"rude1","balancer":3,"at":19,"is":"Left"}
            {"balancer":3,"at":20,"outcome":"watch","is":"ListCall"}
            {"balancer":3,"what":"ready","at":21,"is":"Process"}
            {"id":"rude1","balancer":3,"from":22,"until":23,"what":"SILENT","is":"Rude"}
            {"second":4,"connections":5,"opened":6,"datagrams":7,"is":"Second"}
            {"balancer":3,"upstream":2,"status":"terminating","at":24,"is":"Told"}
            {"id":"c1t0","call":1,"number":0,"product":"read","zone":"a","balancer":3,"intended":25,"sent":26,"left":3000,"ended":27,"end":"200","first":true,"right":true,"retryAfter":0.5,"last":true,"party":"clients-a","tenant":"team","is":"Try"}
            """;

    @TempDir
    private Path folder;

    @Test
    void writesSameStoredFormThatWasReadForEachKind() throws IOException {
        Path stored = folder.resolve("stored.zst");
        try (OutputStream out = new ZstdOutputStream(Files.newOutputStream(stored))) {
            out.write(STORED.getBytes(StandardCharsets.UTF_8));
        }
        Path written = folder.resolve("written.zst");
        Records.read(stored).write(written);
        try (InputStream in = new ZstdInputStream(Files.newInputStream(written))) {
            assertEquals(STORED, new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }
}
