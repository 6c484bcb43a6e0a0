package clovermill.module;

/** Where an attempt goes and whence a miss is filled; a null source means a plain send. */
record Route(Endpoint target, Endpoint source, int rank, boolean believed, boolean sparing) {

    /** Stands for no choice because no member could answer in time. */
    static final Route LOADED = new Route(null, null, 0, false, false);

    /** The parent or origin that is expected to fill, or null. */
    Endpoint filler() {
        return source == null || believed || source.role == Endpoint.Role.CACHE ? null : source;
    }
}
