package plumlever.cli;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import plumlever.settings.Platform;
import plumlever.settings.SettingsException;
import plumlever.settings.Tunables;

/**
 * Starts a controller on loopback with nobody round it and puts a few requests to it, so that the build can archive
 * the classes a start needs. Nothing it does reaches beyond this process.
 */
final class StartRehearsal {
    private static final String SETTINGS = """
            label = "rehearsal"
            area = "here"
            bind = "127.0.0.1:0"
            back = "127.0.0.1:0"
            [outside]
            cloud = "127.0.0.1:9"
            state = "127.0.0.1:9"
            [deployment]
            count = 1
            [[deployment.teams]]
            name = "team"
            cpus = 1.0
            cpus_max = 1.0
            gpus = 0.0
            gpus_max = 0.0
            [deployment.workers]
            report_s = 3.0
            lease_s = 20.0
            cancel_s = 40.0
            [deployment.state]
            rps = 100.0
            write_rps = 20.0
            value_kb = 4.0
            txn_ops = 8
            [deployment.cloud]
            rps = 5.0
            list_lag_s = 3.0
            [deployment.quota]
            fd_limit = 256
            """;

    private StartRehearsal() {}

    static int run() {
        Path file = null;
        try {
            file = Files.createTempFile("plumlever", ".toml");
            Files.writeString(file, SETTINGS);
            Main.run(new String[] {"--config", file.toString(), "--check"});
            loadOwnClasses();
            Service service = new Service(Platform.load(file), Tunables.defaults());
            try (service) {
                service.start();
                String base = "http://127.0.0.1:" + service.port();
                ask(base + "/up", null);
                ask(base + "/submissions/job-1", null);
                ask(base + "/hello", "{\"host\":\"i-1\",\"endpoint\":\"127.0.0.1:9\",\"flavor\":\"f\",\"site\":\"s\",\"loaners\":true,"
                        + "\"tenure\":1,\"tick\":1,\"baton\":0,\"pieces\":[]}");
                ask(base + "/submissions", "{\"uid\":\"job-1\"}");
                Thread.sleep(300);
            }
            new plumlever.peer.PeerStatus.Codec();
            return 0;
        } catch (IOException | SettingsException e) {
            System.err.println("plumlever: the start could not be rehearsed: " + e);
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } finally {
            if (file != null) {
                file.toFile().delete();
            }
        }
    }

    /** A leader's classes too, which nobody needs here: taking office must not wait for them to load. */
    private static void loadOwnClasses() throws IOException {
        Path jar = Path.of(StartRehearsal.class.getProtectionDomain().getCodeSource().getLocation().getPath());
        if (!Files.isRegularFile(jar)) {
            return;
        }
        try (JarFile f = new JarFile(jar.toFile())) {
            for (JarEntry e : Collections.list(f.entries())) {
                String name = e.getName();
                if (name.startsWith("plumlever/") && name.endsWith(".class")) {
                    try {
                        Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
                    } catch (ClassNotFoundException x) {
                        throw new IOException(name, x);
                    }
                }
            }
        }
    }

    private static void ask(String url, String body) throws IOException {
        HttpURLConnection c = (HttpURLConnection) URI.create(url).toURL().openConnection();
        c.setConnectTimeout(3_000);
        c.setReadTimeout(6_000);
        if (body != null) {
            c.setRequestMethod("POST");
            c.setDoOutput(true);
            c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        }
        c.getResponseCode();
        c.disconnect();
    }
}
