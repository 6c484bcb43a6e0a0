package clovermill.prove.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import org.junit.jupiter.api.Test;

/** Checks that the page on the number of caches shows the figures of its CSV file. */
class CacheCountPageTest {

    @Test
    void pageMatchesCsvFile() throws Exception {
        String page = Files.readString(CacheCountProof.PAGE);
        assertThat(page).contains("cache-count -->");
        assertThat(new CapacityTables(CapacityTables.readAll()).render(page))
                .as("docs/design/cache-count.md is out of date: make prove-cache-count").isEqualTo(page);
    }
}
