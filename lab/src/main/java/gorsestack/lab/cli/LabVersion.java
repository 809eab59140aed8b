package gorsestack.lab.cli;

import gorsestack.lab.Main;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import picocli.CommandLine.IVersionProvider;

/** Provides the version of the lab, which is also the version of the balancer that it was built with. */
public final class LabVersion implements IVersionProvider {
    @Override
    public String[] getVersion() throws IOException {
        return new String[] {"gorsestack-lab " + version()};
    }

    private static String version() throws IOException {
        try (InputStream in = Main.class.getResourceAsStream("version.properties")) {
            Properties properties = new Properties();
            properties.load(in);
            return properties.getProperty("version");
        }
    }

    /** Returns the name and version of the balancer, which results contain. */
    static String ofBalancer() throws IOException {
        return "gorsestack " + version();
    }
}
