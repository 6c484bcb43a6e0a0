import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Everything that a director talks to, in its simplest form: two caches, a parent, an origin and a command
 * channel without news. Each member answers every request with a line that names itself.
 */
public final class ToyServer {

    private static final Pattern POLL = Pattern.compile("GET /cmd/next\\?resume=(\\d+)&block=(\\d+) .*");

    private interface Talk {
        void with(InputStream in, OutputStream out) throws IOException, InterruptedException;
    }

    public static void main(String[] args) throws IOException {
        String[] members = {"s-1", "s-2", "p-1", "o-1"};
        for (int i = 0; i < members.length; i++) {
            String name = members[i];
            listen(9001 + i, (in, out) -> answer(name, in, out));
        }
        listen(2379, ToyServer::news);
        System.out.println("members on 127.0.0.1:9001 to 9004, command channel on 127.0.0.1:2379; stop with Ctrl-C");
    }

    private static void listen(int port, Talk talk) throws IOException {
        ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        new Thread(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    new Thread(() -> {
                        try (socket) {
                            talk.with(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                        } catch (IOException | InterruptedException e) {
                            System.out.println("port " + port + ": " + e.getMessage());
                        }
                    }).start();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        }).start();
    }

    private static void answer(String name, InputStream in, OutputStream out) throws IOException {
        for (String line = line(in); line != null; line = line(in)) {
            String[] words = line.split(" ");
            if (words[0].equals("want")) {
                byte[] body = in.readNBytes(Integer.parseInt(words[3]));
                line(in);
                System.out.println(name + ": " + line);
                String text = "served by " + name + (body.length == 0 ? "" : ", which got " + body.length + " bytes");
                out.write((words[1] + " DONE etag=toy,made=" + System.currentTimeMillis() + ",res=HIT,ttfb=0 "
                        + text.length() + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            } else if (words[0].equals("there")) {
                out.write((words[1] + " FIT - 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static void news(InputStream in, OutputStream out) throws IOException, InterruptedException {
        for (String line = line(in); line != null; line = line(in)) {
            Matcher poll = POLL.matcher(line);
            if (poll.matches()) {
                Thread.sleep(Long.parseLong(poll.group(2)));
                String body = "{\"cursor\":" + poll.group(1) + ",\"cmds\":[]}";
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.US_ASCII).stripTrailing();
    }
}
