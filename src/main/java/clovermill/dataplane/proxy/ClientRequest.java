package clovermill.dataplane.proxy;

/**
 * A client's request, independent of the protocol that it came by.
 *
 * @param id sixteen hexadecimal digits; unique among the open requests
 * @param requestClass index of the request's class in the settings
 * @param className name of that class
 * @param object hash of the requested object, sixteen hexadecimal digits
 * @param part number of the requested segment of the object
 * @param group bucket of the client
 * @param sizeKb expected size of the answer in kilobytes
 * @param remainingUs time from now until the client gives up, in microseconds
 * @param repeat whether the client has sent this request before
 * @param idempotencyKey key by which servers recognise a repeated write, or null
 * @param cachedTag entity tag of the copy that the client has, or null
 * @param body body of a write, empty otherwise
 */
public record ClientRequest(String id, int requestClass, String className, String object, int part, int group,
        double sizeKb, long remainingUs, boolean repeat, String idempotencyKey, String cachedTag, byte[] body) {

    /** The same request after a delay in microseconds, with that much less time until its client gives up. */
    public ClientRequest afterDelay(long delayUs) {
        return new ClientRequest(id, requestClass, className, object, part, group, sizeKb,
                remainingUs - delayUs, repeat, idempotencyKey, cachedTag, body);
    }
}
