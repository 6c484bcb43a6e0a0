package clovermill.host;

/**
 * A client's request as any front hands it over. {@code requestClass} is the index of its class and {@code
 * className} its name; {@code token} (the idempotency key) and {@code have} (the tag of the client's copy)
 * may be null. {@code waitUs} is the time left until the client gives up.
 */
public record Ask(String id, int requestClass, String className, String object, int part, int group,
        double sizeKb, long waitUs, boolean repeat, String token, String have, byte[] body) {

    /** The same request with so many microseconds less until its client gives up. */
    public Ask later(long byUs) {
        return new Ask(id, requestClass, className, object, part, group, sizeKb, waitUs - byUs, repeat, token, have,
                body);
    }
}
