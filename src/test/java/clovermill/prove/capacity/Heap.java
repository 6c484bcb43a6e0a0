package clovermill.prove.capacity;

import java.lang.ref.Reference;
import java.util.concurrent.Callable;

/** Measures the live heap of this process. */
final class Heap {

    /** The serial collector compacts away all dead objects only in every fourth full collection. */
    private static final int COLLECTIONS = 4;

    private Heap() {}

    /** Returns the bytes of live heap that an object created by the factory retains; it must not exist before. */
    static long retainedBy(Callable<?> factory) throws Exception {
        long before = liveBytes();
        Object object = factory.call();
        long after = liveBytes();
        Reference.reachabilityFence(object);
        return after - before;
    }

    /** Returns the bytes in use after several full collections. */
    private static long liveBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
