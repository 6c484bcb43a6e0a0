package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.upgrade.PassedSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;

/**
 * What the platform gives a director besides its configuration. {@code passed} is the clients' listening socket, null
 * where the director opens its own; {@code admin} is where operators call, null for nowhere; {@code shared} is a
 * folder that all processes of this director see, null where there is but one process.
 */
record Platform(ServerSocketChannel passed, InetSocketAddress admin, Path shared) {

    /** What the variables of the environment tell; the names stand in the operators' page on upgrades. */
    static Platform read(Map<String, String> environment, Config config, StartupRetry startup)
            throws IOException, Json.Malformed {
        String named = environment.get(PassedSocket.VARIABLE);
        if (named != null) {
            startup.get("the passed socket", System::inheritedChannel); // kept by the JVM once it was had
        }
        ServerSocketChannel passed = PassedSocket.take(named);
        String admin = environment.get("BALANCER_ADMIN");
        String folder = environment.get("TMPDIR");
        return new Platform(passed, admin == null ? config.admin() : Config.address(admin),
                passed == null || folder == null ? null : Path.of(folder).resolve("clovermill"));
    }
}
