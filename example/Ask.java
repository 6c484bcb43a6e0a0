import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** Asks the example's director for a part of an object, or places an order if a body is given. */
public final class Ask {

    public static void main(String[] args) throws IOException {
        if (args.length < 1 || args.length > 2) {
            System.err.println("usage: java example/Ask.java KEY [BODY]    KEY: 16 hexadecimal digits");
            System.exit(2);
        }
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("class", args.length == 1 ? "page" : "order");
        fields.put("id", String.format("%016x", new Random().nextLong()));
        fields.put("wait", "2000");
        fields.put("key", args[0]);
        fields.put("seg", "0");
        // The group of the object: here its first two digits, so that keys below 80 belong to another tenant.
        fields.put("bucket", "" + Integer.parseInt(args[0].substring(0, 2), 16));
        fields.put("kb", "4");
        if (args.length == 2) {
            fields.put("once", String.format("%016x", new Random().nextLong()));
        }
        try (Socket socket = new Socket("127.0.0.1", 8080)) {
            socket.getOutputStream().write(request(fields, args.length == 2 ? args[1] : ""));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            ByteBuffer answer = ByteBuffer.wrap(in.readNBytes(Integer.reverseBytes(in.readInt())))
                    .order(ByteOrder.LITTLE_ENDIAN).position(5);
            System.out.println(switch (answer.get()) {
                case 79 -> "served";
                case 66 -> "refused";
                default -> "failed";
            });
            for (int i = answer.get(); i > 0; i--) {
                System.out.println(text(answer, answer.get()) + " = " + text(answer, answer.getShort()));
            }
            System.out.println(text(answer, answer.remaining()));
        }
    }

    private static byte[] request(Map<String, String> fields, String body) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        payload.write(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            payload.write(field.getKey().length());
            payload.write(field.getKey().getBytes(StandardCharsets.UTF_8));
            payload.write(field.getValue().length());
            payload.write(0);
            payload.write(field.getValue().getBytes(StandardCharsets.UTF_8));
        }
        payload.write(body.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.allocate(9 + payload.size()).order(ByteOrder.LITTLE_ENDIAN).putInt(5 + payload.size())
                .put((byte) 0).putInt(1).put(payload.toByteArray()).array();
    }

    private static String text(ByteBuffer buffer, int length) {
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
