package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that does not detect its predecessor or successor. Runs both in one process, as locks of the same process
 * exclude one another too.
 */
class ProcessPresenceTest {
    @TempDir
    private Path folder;

    private ProcessPresence opened() throws IOException {
        ProcessPresence presence = new ProcessPresence(folder.resolve("lock"));
        presence.open();
        return presence;
    }

    @Test
    void detectsWhichProcessesRunAndAcceptClients() throws IOException {
        ProcessPresence first = opened();
        assertFalse(first.predecessorRuns() || first.successorRuns());
        first.lockAccepting();
        ProcessPresence second = opened();
        assertTrue(first.successorRuns() && second.predecessorRuns());
        assertFalse(second.successorRuns());
        assertTrue(second.predecessorAccepts());
        assertFalse(first.successorAccepts());
        second.lockAccepting();
        first.releaseAccepting();
        assertTrue(first.successorAccepts());
        assertFalse(second.predecessorAccepts());
        assertEquals(0, Files.size(folder.resolve("lock")));
    }

    @Test
    void isNotOpenWhenFolderDoesNotExist() {
        ProcessPresence presence = new ProcessPresence(folder.resolve("absent/lock"));
        assertThrows(IOException.class, presence::open);
        assertFalse(presence.isOpen());
    }
}
