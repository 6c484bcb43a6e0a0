package standins2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;

/** What all cases use. */
public final class Kit {

    private static final Random RANDOM = new Random();

    private Kit() {}

    /** Returns false if the run is to be made without the disruption. */
    public static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    public static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    /** Returns {@code digits} random hexadecimal digits. */
    public static synchronized String hex(int digits) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < digits; i++) {
            text.append(Character.forDigit(RANDOM.nextInt(16), 16));
        }
        return text.toString();
    }

    public static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
