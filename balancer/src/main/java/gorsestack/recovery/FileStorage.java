package gorsestack.recovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Storage in a folder of the file system, with blocking I/O. Used by the stores of state on any thread but the event loop's. */
public final class FileStorage implements Storage {
    private final Path folder;

    /** Creates a storage for the files of an existing folder. */
    public FileStorage(Path folder) {
        this.folder = folder;
    }

    @Override
    public byte[] read(String file) throws IOException {
        try {
            return Files.readAllBytes(folder.resolve(file));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public void write(String file, byte[] bytes) throws IOException {
        write(file, bytes, StandardOpenOption.TRUNCATE_EXISTING);
    }

    @Override
    public void append(String file, byte[] bytes) throws IOException {
        write(file, bytes, StandardOpenOption.APPEND);
    }

    private void write(String file, byte[] bytes, StandardOpenOption mode) throws IOException {
        try (FileChannel out =
                FileChannel.open(folder.resolve(file), StandardOpenOption.CREATE, StandardOpenOption.WRITE, mode)) {
            for (ByteBuffer remaining = ByteBuffer.wrap(bytes); remaining.hasRemaining(); ) {
                out.write(remaining);
            }
        }
    }

    @Override
    public void sync(String file) throws IOException {
        try (FileChannel out = FileChannel.open(folder.resolve(file), StandardOpenOption.WRITE)) {
            out.force(true);
        }
    }

    @Override
    public void rename(String oldName, String newName) throws IOException {
        Files.move(folder.resolve(oldName), folder.resolve(newName), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel in = FileChannel.open(folder, StandardOpenOption.READ)) {
            in.force(true);
        }
    }
}
