package juniperusher.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import juniperusher.distribution.Limits;
import juniperusher.distribution.Publisher;
import juniperusher.distribution.Version;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each break that the checker is there for is seen. */
class DistributionCheckerTest {
    private static final Version FIRST = new Version(1, 1);
    private static final Version SECOND = new Version(1, 2);
    private static final Ledger NEXT = Ledger.EMPTY.after(7);

    private final DistributionChecker checker = new DistributionChecker(Limits.DEFAULT);

    @BeforeEach
    void publish() {
        checker.published(1, FIRST, Ledger.EMPTY);
        checker.published(5, SECOND, NEXT);
        checker.tookOver(6, "r1", SECOND, NEXT);
        checker.staleness(9, "r1", SECOND, 0);
        checker.staleness(9, "r2", FIRST, 4);
        assertNull(checker.broken());
    }

    private void broken(String what) {
        assertTrue(String.valueOf(checker.broken()).contains(what), checker.broken());
    }

    @Test
    void aStateThatWasNotPublished() {
        checker.tookOver(7, "r2", SECOND, Ledger.EMPTY);
        broken("r2 holds");
    }

    @Test
    void aVersionThatWasNotPublished() {
        checker.tookOver(7, "r2", new Version(2, 2), NEXT);
        broken("published was null");
    }

    @Test
    void aVersionThatGoesBack() {
        checker.tookOver(7, "r1", FIRST, Ledger.EMPTY);
        broken("r1 went from 1.2 to 1.1");
    }

    @Test
    void aVersionThatIsPublishedTwice() {
        checker.published(7, SECOND, Ledger.EMPTY);
        broken("1.2 was published twice");
    }

    @Test
    void aStalenessThatIsToldTooSmall() {
        checker.staleness(9, "r2", FIRST, 3.9);
        broken("r2 has 1.1 and tells 3.9 s");
    }

    @Test
    void aPublisherBeyondItsBounds() {
        checker.memory(7, "c1", new Publisher.Memory(1, 200_000, 200_000, 0, 0, 0, 0));
        broken("c1 is beyond its bounds");
    }
}
