package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** The page on the number of caches shows the figures of the last run. */
class CacheCountPageTest {

    @Test
    void thePageShowsWhatItsFileHolds() throws Exception {
        String page = Files.readString(CacheCountProof.PAGE);
        assertThat(page).contains("cache-count -->");
        assertThat(new CapacityTables(CapacityTables.readAll()).render(page))
                .as("docs/design/cache-count.md is out of date: make prove-cache-count").isEqualTo(page);
    }
}
