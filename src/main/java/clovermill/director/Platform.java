package clovermill.director;

import clovermill.config.Config;
import clovermill.config.Json;
import clovermill.controlplane.handover.InheritedSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * What the platform gives a director besides its configuration.
 *
 * @param inheritedSocket the clients' listening socket; the director opens its own if empty
 * @param adminAddress where operators call; there is no admin server if empty
 * @param sharedFolder a folder that all processes of this director see; empty where there is only one process
 */
record Platform(Optional<ServerSocketChannel> inheritedSocket, Optional<InetSocketAddress> adminAddress,
        Optional<Path> sharedFolder) {

    private static final String ADMIN_VARIABLE = "BALANCER_ADMIN";
    private static final String FOLDER_VARIABLE = "TMPDIR";
    private static final String FOLDER_NAME = "clovermill";

    /**
     * Reads the environment's variables; source: the operators' page on upgrades.
     *
     * @throws IOException if the inherited socket that the environment names is not there
     * @throws Json.Malformed if the admin address cannot be read
     */
    static Platform read(Map<String, String> environment, Config config, StartupRetry startup)
            throws IOException, Json.Malformed {
        String socketName = environment.get(InheritedSocket.VARIABLE);
        if (socketName != null) {
            startup.get("the passed socket", System::inheritedChannel); // the JVM caches it once this succeeds
        }
        Optional<ServerSocketChannel> socket = Optional.ofNullable(InheritedSocket.fromDescriptor(socketName));
        String admin = environment.get(ADMIN_VARIABLE);
        InetSocketAddress adminAddress = admin == null ? config.admin() : Config.address(admin);
        String folder = environment.get(FOLDER_VARIABLE);
        Optional<Path> sharedFolder = socket.isEmpty() || folder == null ? Optional.empty()
                : Optional.of(Path.of(folder).resolve(FOLDER_NAME));
        return new Platform(socket, Optional.ofNullable(adminAddress), sharedFolder);
    }
}
