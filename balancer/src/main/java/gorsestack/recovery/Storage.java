package gorsestack.recovery;

import java.io.IOException;

/**
 * File operations in a folder, on which {@link SnapshotStore} and the member log are based. An interface, so that a test can interrupt
 * each operation or let it fail. All methods may block.
 */
public interface Storage {
    /** Returns the content of a file, or null if the file does not exist. */
    byte[] read(String file) throws IOException;

    /** Replaces the content of a file, or creates the file. */
    void write(String file, byte[] bytes) throws IOException;

    /** Appends to a file, or creates the file. */
    void append(String file, byte[] bytes) throws IOException;

    /** Blocks until the content of the file is on the disk. */
    void sync(String file) throws IOException;

    /** Renames a file atomically; a file that has the new name is replaced. */
    void rename(String oldName, String newName) throws IOException;

    /** Blocks until earlier renames are on the disk. */
    void syncFolder() throws IOException;
}
