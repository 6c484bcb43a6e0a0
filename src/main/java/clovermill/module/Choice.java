package clovermill.module;

/** Where an attempt goes and whence a miss is filled; a null source means a plain send. */
record Choice(Node target, Node source, int rank, boolean believed, boolean sparing) {

    /** Stands for no choice because no member could answer in time. */
    static final Choice LOADED = new Choice(null, null, 0, false, false);

    /** The parent or origin that is expected to fill, or null. */
    Node filler() {
        return source == null || believed || source.role == Node.Role.CACHE ? null : source;
    }
}
