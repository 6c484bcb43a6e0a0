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
 * The resources that the platform provides to a director besides its configuration.
 *
 * @param inheritedSocket the clients' listening socket; the director opens its own if empty
 * @param adminAddress the address of the admin server; none is opened if empty
 * @param sharedFolder a folder shared by all processes of this director; empty if there is only one process
 */
record Platform(Optional<ServerSocketChannel> inheritedSocket, Optional<InetSocketAddress> adminAddress,
        Optional<Path> sharedFolder) {

    private static final String ADMIN_VARIABLE = "BALANCER_ADMIN";
    private static final String FOLDER_VARIABLE = "TMPDIR";
    private static final String FOLDER_NAME = "clovermill";

    /**
     * Reads the environment variables. Source: the operators' page on upgrades.
     *
     * @throws IOException if the environment names an inherited socket that does not exist
     * @throws Json.Malformed if the admin address cannot be parsed
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
